#pragma once

#include <functional>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/request/key_claims.hpp"
#include "dragonflygap/request/request_task.hpp"

namespace dragonflygap::daemon
{

/// Executes the actions of the idempotency-key claims on the platform's table.
class key_driver
{
public:
    using answer_hook = std::function<void(request::request_message)>;

    key_driver(event_loop& loop, platform::table_port table, request::key_claims_options options,
               answer_hook on_answer);

    void handle(request::claim_message message);

private:
    /// Handles an event and executes the resulting actions.
    void run(const request::claims_event& event);
    void act(const request::commit_claims& action);
    void act(const request::scan_claims& action);
    template <class Answer>
    void act(const Answer& action)
    {
        m_on_answer(action);
    }

    platform::table_port m_table;
    request::key_claims m_claims;
    answer_hook m_on_answer;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
