#include "baseline.hpp"

#include <string>

namespace dragonflygap::bench
{

std::vector<request::scheduler_action> baseline::handle(const request::scheduler_event& event,
                                                        instant now)
{
    std::vector<request::scheduler_action> out;
    if (const auto* submitted = std::get_if<request::request_submitted>(&event))
    {
        const auto index = std::stoul(submitted->m_request.m_id.m_value);
        const double key = m_options.m_sort_key(submitted->m_request, m_arrivals[index]);
        m_queue.insert({key, index, submitted->m_request});
    }
    if (const auto* ended = std::get_if<request::request_ended>(&event))
    {
        m_running -= ended->m_slot_free ? 1 : 0;
        if (!ended->m_outcome)
            out.emplace_back(request::fail_request{ended->m_id, ended->m_outcome.error()});
    }
    if (std::holds_alternative<request::slot_freed>(event))
        --m_running;
    dispatch(out, now);
    return out;
}

void baseline::dispatch(std::vector<request::scheduler_action>& out, instant now)
{
    while (m_running < m_options.m_slots && !m_queue.empty())
    {
        const auto next = *m_queue.begin();
        m_queue.erase(m_queue.begin());
        const auto& request = next.m_request;
        const auto needed =
            m_options.m_knows_run_times ? m_arrivals[next.m_index].m_run_time : duration(1);
        if (now + needed > request.m_deadline)
        {
            out.emplace_back(request::refuse_request{
                request.m_id, {verdict::not_run, reason::deadline_passed, "late"}});
            continue;
        }
        ++m_running;
        out.emplace_back(
            request::dispatch_request{request.m_id, target_id("any"), {}, request.m_deadline, 1});
    }
}

sort_key_function by_arrival()
{
    return [](const request::pending_request&, const arrival&) { return 0.0; };
}

sort_key_function by_urgency(const std::vector<config::request_class>& classes)
{
    return [classes](const request::pending_request& request, const arrival&)
    {
        for (const auto& settings : classes)
            if (settings.m_name == request.m_class)
                return static_cast<double>(settings.m_urgency);
        return 0.0;
    };
}

sort_key_function by_run_time()
{
    return [](const request::pending_request&, const arrival& arrived)
    { return static_cast<double>(arrived.m_run_time.count()); };
}

} // namespace dragonflygap::bench
