#include "dragonflygap/net/transport.hpp"

#include <utility>

#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap
{

http_transport make_transport(http_client& client)
{
    return {
        .m_send = [&client](const endpoint& to, http_request request, duration timeout,
                            http_transport::done on_done)
        { return client.send(to, std::move(request), timeout, std::move(on_done)); },
        .m_cancel = [&client](http_transport::call_id call) { client.cancel(call); },
        .m_close_idle = [&client](const endpoint& to) { client.close_idle(to); },
    };
}

} // namespace dragonflygap
