#include "hostile_clients/support/store_service.hpp"

#include <utility>

namespace hostile
{

store_service::store_service(const std::string& config)
    : m_store(
          m_random,
          [this](duration delay, std::function<void()> work)
          { m_loop.defer(delay, std::move(work)); },
          [] { return to_ms(monotonic_clock::now().time_since_epoch()); }),
      m_server(m_loop,
               {.m_listen = {"127.0.0.1", 0},
                .m_handler = [this](const http_request& request, const http_exchange_ptr& exchange)
                {
                    m_store.handle(request, [exchange](const http_response& response)
                                   { exchange->reply(response); });
                }})
{
    m_store.put("op", "config", config);
    m_thread = std::thread([this] { m_loop.run(); });
}

store_service::~store_service()
{
    m_loop.stop();
    m_thread.join();
}

} // namespace hostile
