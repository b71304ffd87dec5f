#include "dragonflygap/emulator/embedded_transport.hpp"

#include <memory>
#include <unordered_map>
#include <utility>

#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap::emulator
{

namespace
{

class embedded_caller
{
public:
    embedded_caller(event_loop& loop, cell& emulated_cell) : m_loop(loop), m_cell(emulated_cell) {}

    http_transport::call_id send(const endpoint& to, const http_request& request, duration timeout,
                                 const http_transport::done& on_done)
    {
        const auto id = ++m_last_call;
        auto answer = m_cell.handle(to, request, monotonic_clock::now());
        const bool timed_out = answer.m_lost || answer.m_delay > timeout;
        outcome<http_response> result = std::move(answer.m_response);
        if (timed_out)
            result = fail(verdict::may_have_run, reason::timeout, "no answer in time");
        m_calls[id] = m_loop.after(timed_out ? timeout : answer.m_delay,
                                   [this, id, result = std::move(result), on_done]
                                   {
                                       const auto ended = m_calls.extract(id);
                                       on_done(result);
                                   });
        return id;
    }

    void cancel(http_transport::call_id call) { m_calls.erase(call); }

private:
    event_loop& m_loop;
    cell& m_cell;
    http_transport::call_id m_last_call = 0;
    std::unordered_map<http_transport::call_id, event_loop::timer_ptr> m_calls;
};

} // namespace

http_transport make_embedded_transport(event_loop& loop, cell& emulated_cell)
{
    auto caller = std::make_shared<embedded_caller>(loop, emulated_cell);
    return {
        .m_send = [caller](const endpoint& to, const http_request& request, duration timeout,
                           const http_transport::done& on_done)
        { return caller->send(to, request, timeout, on_done); },
        .m_cancel = [caller](http_transport::call_id call) { caller->cancel(call); },
        .m_close_idle = [](const endpoint&) {},
    };
}

} // namespace dragonflygap::emulator
