#include <algorithm>
#include <set>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

/// The workers that a leader knows: the platform's list of them, and which ones a tick looks at.
namespace dragonflygap::cell
{

namespace
{

std::string joined(const std::vector<std::string>& texts)
{
    std::string result;
    for (const auto& text : texts)
        result += (result.empty() ? "" : ",") + text;
    return result;
}

} // namespace

// For events: the next tick looks at the worker.
worker_state* coordinator::find_worker(const worker_id& worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return nullptr;
    m_index.mark_changed(found->second);
    return &found->second;
}

// The worker may be known.
worker_state& coordinator::add_worker(const worker_id& id)
{
    const auto [entry, inserted] = m_workers.try_emplace(id);
    auto& worker = entry->second;
    if (inserted)
    {
        worker.m_info.m_id = id;
        worker.m_usage = &m_usage;
        m_index.add(worker);
    }
    return worker;
}

std::map<worker_id, worker_state>::iterator
coordinator::remove_worker(std::map<worker_id, worker_state>::iterator worker)
{
    const auto number = worker->second.m_number;
    m_claims.forget(number);
    for (auto& [id, job] : m_jobs)
        for (auto& [k, steps] : job->open_occurrences())
            for (auto& step : steps)
            {
                m_counts.m_tickets.m_forgotten += step.m_approval.forget(number) ? 1 : 0;
                std::erase(step.m_drained, number);
            }
    std::erase(m_closed, number);
    m_index.remove(worker->second);
    return m_workers.erase(worker);
}

// The workers that events changed, and some others in turn, since leases and delays run out
// without any event: all of them within ten ticks.
std::vector<worker_number> coordinator::workers_to_check()
{
    constexpr worker_number min_count = 128;
    constexpr worker_number rounds = 10;
    const auto all = m_index.end();
    // All of them if this leader may no longer start tasks, or may again.
    const bool usable = leadership_confirmed() && !m_list_outdated;
    const bool turned = std::exchange(m_workers_usable, usable) != usable;
    const auto count = turned ? all : std::min(all, std::max(min_count, all / rounds + 1));
    for (worker_number i = 0; i < count; ++i)
    {
        if (m_next_checked >= all)
            m_next_checked = 0;
        if (auto* worker = m_index.find(m_next_checked++); worker != nullptr)
            m_index.mark_changed(*worker);
    }
    auto result = m_index.take_changed();
    std::sort(result.begin(), result.end());
    return result;
}

void coordinator::on(const workers_listed& event)
{
    m_list_confirmed_at = event.m_confirmed_at;
    std::set<worker_id> listed;
    for (const auto& info : event.m_workers)
    {
        list_worker(info);
        if (event.m_complete)
            listed.insert(info.m_id);
    }
    if (event.m_complete)
    {
        for (auto& [id, worker] : m_workers)
            if (listed.count(id) == 0)
                unlist_worker(worker);
    }
    else
        for (const auto& id : event.m_unlisted)
            if (auto* worker = find_worker(id); worker != nullptr)
                unlist_worker(*worker);
}

void coordinator::list_worker(const worker_info& info)
{
    const bool inserted = m_workers.count(info.m_id) == 0;
    auto& worker = add_worker(info.m_id);
    if (inserted)
        begin_use(worker);
    if (worker.m_listed && worker.m_info == info)
        return;
    check_listed_life(worker, info);
    m_index.mark_changed(worker);
    if (worker.m_info.m_address != info.m_address)
    {
        m_workers_dirty = true;
        worker.m_address_since = m_now;
    }
    if (info.m_leaving && !worker.m_info.m_leaving)
        log_event(log_level::info, "worker_leaving",
                  {{"worker", info.m_id.m_value}, {"remaining_ms", info.m_remaining_ms}});
    if (!worker.m_listed || worker.m_info.m_capacity == resources{})
        log_event(log_level::info, "worker_listed",
                  {{"worker", info.m_id.m_value},
                   {"address", to_string(info.m_address)},
                   {"data_centre", info.m_data_centre.m_value},
                   {"rack", info.m_rack.m_value},
                   {"labels", joined(info.m_labels)},
                   {"millicores", info.m_capacity.m_millicores},
                   {"memory_mb", info.m_capacity.m_memory_mb}});
    if (worker.m_replaced && worker.m_info.m_address != info.m_address)
    {
        // The worker restarted under the same id at another address.
        worker.m_replaced = false;
        worker.m_next_renewal = m_now;
    }
    worker.m_info = info;
    worker.m_listed = true;
}

void coordinator::unlist_worker(worker_state& worker)
{
    if (!std::exchange(worker.m_listed, false))
        return;
    m_index.mark_changed(worker);
    worker.m_unlisted_since = m_now;
    log_event(log_level::info, "worker_unlisted",
              {{"worker", worker.m_info.m_id.m_value},
               {"tasks", worker.m_placements.size()},
               {"silent_ms", to_ms(m_now - worker.m_last_report_at)}});
}

void coordinator::remove_expired_workers()
{
    constexpr duration check_interval = 1s;
    if (m_now - m_last_expiry_check < check_interval)
        return;
    m_last_expiry_check = m_now;
    for (auto entry = m_workers.begin(); entry != m_workers.end();)
    {
        auto& worker = entry->second;
        const bool expired = m_now >= m_predecessor_leases_until &&
                             m_now - worker.m_unlisted_since > m_options.m_unlisted_retention;
        if (worker.m_listed || !worker.m_placements.empty() || !(worker.m_replaced || expired))
        {
            ++entry;
            continue;
        }
        entry = remove_worker(entry);
        m_workers_dirty = true;
    }
}

// How long a start order that is sent now may take to have its effect. A worker may have said that
// it leaves as soon as the list was confirmed, so the list's age and the order's time are one
// bound.
duration coordinator::max_start_delay() const
{
    const auto window = m_options.m_workers.m_order_window;
    if (m_list_confirmed_at == instant{} || store_down())
        return window;
    const auto notice_left = m_list_confirmed_at + m_options.m_min_notice - m_now;
    return std::min<duration>(window, notice_left * 98 / 100); // by a clock that runs 2% slow
}

// Orders that take longer than the window would be lost.
bool coordinator::list_outdated() const
{
    return max_start_delay() <
           std::min<duration>(m_order_time.timeout(), m_options.m_min_notice / 2);
}

// Without the list, tasks could start on workers that are about to end.
void coordinator::check_list_age()
{
    const bool outdated = list_outdated();
    if (std::exchange(m_list_outdated, outdated) != outdated)
        log_event(log_level::warning, outdated ? "worker_list_outdated" : "worker_list_current",
                  {{"list_age_ms", to_ms(m_now - m_list_confirmed_at)},
                   {"store_age_ms", to_ms(store_age())}});
}

} // namespace dragonflygap::cell
