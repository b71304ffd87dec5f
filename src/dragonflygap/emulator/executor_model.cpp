#include "dragonflygap/emulator/executor_model.hpp"

#include <algorithm>

namespace dragonflygap::emulator
{

namespace
{

constexpr std::size_t max_executions = 100000;

} // namespace

int executor_model::running(instant now) const
{
    std::erase_if(m_end_times, [now](instant end) { return end <= now; });
    return static_cast<int>(m_end_times.size());
}

bool executor_model::start(const request_id& request, duration run_time, instant now,
                           bool enforce_slots)
{
    if (running(now) >= m_slots && enforce_slots)
        return false;
    m_end_times.push_back(now + run_time);
    auto& execution = m_executions[request];
    if (execution.m_start_count++ == 0)
        m_order.push_back(request);
    execution.m_end = now + run_time;
    if (m_order.size() > max_executions)
    {
        m_executions.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

execution_state executor_model::state_of(const request_id& request, instant now) const
{
    const auto found = m_executions.find(request);
    if (found == m_executions.end())
        return execution_state::unknown;
    return found->second.m_end <= now ? execution_state::done : execution_state::running;
}

int executor_model::start_count(const request_id& request) const
{
    const auto found = m_executions.find(request);
    return found == m_executions.end() ? 0 : found->second.m_start_count;
}

} // namespace dragonflygap::emulator
