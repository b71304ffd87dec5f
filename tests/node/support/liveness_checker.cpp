#include "node/support/liveness_checker.hpp"

#include <utility>

#include "platform/names.hpp"

namespace stand_in
{

liveness_checker::liveness_checker(cell_world& world, duration max_wait)
    : m_world(world), m_max_wait_ms(to_ms(max_wait))
{
}

void liveness_checker::sample()
{
    for (const auto& [job, recorded] : m_world.m_submissions)
        if (recorded.m_accepted && m_closed.count(job) == 0)
            m_open.try_emplace(job, m_world.now_ms());
    const bool sound = cell_is_sound();
    for (auto entry = m_open.begin(); entry != m_open.end();)
    {
        const auto& job = entry->first;
        bool all_done = true;
        for (int step = 0; m_world.m_checker.m_find_spec(job, step) != nullptr; ++step)
        {
            check(job, step, sound);
            all_done = all_done && is_done(job, step);
        }
        if (!all_done)
        {
            ++entry;
            continue;
        }
        m_closed.insert(job);
        entry = m_open.erase(entry);
    }
}

std::vector<std::string> liveness_checker::unfinished(std::int64_t accepted_until_ms) const
{
    std::vector<std::string> result;
    for (const auto& [job, accepted_ms] : m_open)
        if (accepted_ms <= accepted_until_ms)
            result.push_back(job);
    return result;
}

bool liveness_checker::cell_is_sound()
{
    const auto leader = m_world.leader();
    const auto& store = m_world.rows().m_faults;
    const store_faults no_faults;
    const bool store_is_sound = !store.m_down && store.m_lost_reply_rate == 0 &&
                                store.m_delayed_write_rate == 0 &&
                                store.m_response_time <= no_faults.m_response_time;
    return !leader.empty() && std::exchange(m_last_leader, leader) == leader &&
           !m_world.is_cut(leader) && !m_world.is_frozen(leader) && store_is_sound &&
           has_free_capacity();
}

bool liveness_checker::has_free_capacity()
{
    std::map<std::string, std::int64_t> used;
    for (const auto& [task, workers] : m_world.m_checker.m_running)
    {
        if (workers.empty())
            continue;
        const auto key = *wire::parse_task_name(task);
        const auto* spec = m_world.m_checker.m_find_spec(key.m_job.m_value, key.m_step);
        for (const auto& worker : workers)
            used[worker] += spec == nullptr ? 0 : spec->m_cpu;
    }
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (int i = 0; i < m_world.options().m_workers; ++i)
    {
        const auto& worker = m_world.at(i);
        const auto& faults = worker.m_faults;
        total += worker.m_cpu;
        if (!faults.m_unreachable && faults.m_unanswered_order_rate == 0 &&
            !faults.m_resets_orders && !faults.m_fails_all && !faults.m_hangs)
            free += worker.m_cpu - used[worker.id()];
    }
    return 2 * free >= total;
}

bool liveness_checker::is_done(const std::string& job, int step) const
{
    const auto* spec = m_world.m_checker.m_find_spec(job, step);
    for (int i = 0; i < spec->m_gang_size; ++i)
        if (m_world.m_checker.m_done.count(wire::task_name({job_id(job), 0, step, i})) == 0)
            return false;
    return true;
}

bool liveness_checker::is_due(const std::string& job, int step) const
{
    for (const int earlier : m_world.m_checker.m_find_spec(job, step)->m_depends_on)
        if (!is_done(job, earlier))
            return false;
    return true;
}

void liveness_checker::check(const std::string& job, int step, bool sound)
{
    auto& checker = m_world.m_checker;
    if (!is_due(job, step) || is_done(job, step))
        return;
    const auto now = m_world.now_ms();
    bool runs = false;
    int starts = 0;
    for (int i = 0; i < checker.m_find_spec(job, step)->m_gang_size; ++i)
    {
        const auto task = wire::task_name({job_id(job), 0, step, i});
        const auto running = checker.m_running.find(task);
        runs = runs || (running != checker.m_running.end() && !running->second.empty());
        const auto started = checker.m_starts.find(task);
        starts += started == checker.m_starts.end() ? 0 : started->second;
    }
    auto& waiting = m_waits.try_emplace({job, step}, wait{.m_since_ms = now}).first->second;
    if (!sound || runs || std::exchange(waiting.m_starts, starts) != starts)
    {
        waiting.m_since_ms = now;
        waiting.m_starts = starts;
    }
    if (now - waiting.m_since_ms <= m_max_wait_ms || std::exchange(waiting.m_reported, true))
        return;
    m_violations.push_back("at " + std::to_string(now) + " ms step " + std::to_string(step) +
                           " of the accepted job " + job + " has had nothing running for " +
                           std::to_string(now - waiting.m_since_ms) + " ms, with room free and " +
                           m_last_leader + " leading");
}

} // namespace stand_in
