#include <algorithm>
#include <functional>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

namespace
{

// Free capacity of a worker once all tasks except long-running ones have ended.
resources capacity_when_drained(const worker_state& worker,
                                const std::function<bool(const task_key&)>& is_long_running)
{
    auto free = worker.m_info.m_capacity;
    for (const auto& [task, placed] : worker.m_placements)
        if (is_long_running(task))
            free -= placed.m_size;
    return free;
}

} // namespace

// Drains workers until the gang fits on them. They are closed to steps of lower rank until then.
void coordinator::drain_for_gang(job_state& job, const step_key& key)
{
    set_drained(job.step(key.m_occurrence, key.m_step), choose_drained(job, key));
}

// Those with the most free capacity first, as they fit the gang the soonest. On suspected workers
// tasks may not end.
std::vector<worker_number> coordinator::choose_drained(const job_state& job, const step_key& key)
{
    const auto max_closed = max_closed_workers();
    const auto& spec = job.spec(key.m_step);
    if (m_closed.size() >= max_closed)
        return {};
    auto candidates = eligible_workers(job, key, ticket_need::known);
    const auto order = [&](const worker_state& worker)
    {
        return std::pair(is_suspected(worker),
                         -worker.free_for(job.record().m_queue.m_priority).m_millicores);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const worker_state* left, const worker_state* right)
                     { return order(*left) < order(*right); });
    const auto is_long_running = [this](const task_key& task)
    {
        const job_state* other = find_job(task.m_job);
        return other != nullptr && other->spec(task.m_step).m_long_running;
    };
    int places = 0;
    std::size_t drained_count = 0;
    for (; drained_count < candidates.size() && places < spec.m_count; ++drained_count)
        places +=
            std::min(fit_count(size_of(spec),
                               capacity_when_drained(*candidates[drained_count], is_long_running)),
                     spec.m_max_per_worker > 0 ? spec.m_max_per_worker : spec.m_count);
    if (places < spec.m_count || m_closed.size() + drained_count > max_closed)
        return {};
    std::vector<worker_number> result;
    for (std::size_t i = 0; i < drained_count; ++i)
        result.push_back(candidates[i]->m_number);
    return result;
}

// Other steps may use workers again that are no longer drained.
void coordinator::set_drained(step_state& step, std::vector<worker_number> drained)
{
    const auto before = std::exchange(step.m_drained, std::move(drained));
    const auto& after = step.m_drained;
    for (const auto number : before)
        if (auto* worker = m_index.find(number);
            worker != nullptr && std::find(after.begin(), after.end(), number) == after.end())
            m_index.mark_grown(*worker);
}

// The first gang may close half of the workers, as it could starve otherwise. More gangs at the
// same time would leave much of the cell's capacity unused, as each waits for its last worker.
std::size_t coordinator::max_closed_workers() const
{
    constexpr std::size_t first_divisor = 2;
    constexpr std::size_t divisor = 8;
    return m_index.open_count() / (m_closed.empty() ? first_divisor : divisor);
}

void coordinator::close_drained(const step_state& step)
{
    const auto max_closed = max_closed_workers();
    for (const auto number : step.m_drained)
    {
        auto* worker = m_index.find(number);
        if (worker == nullptr || worker->m_pass.m_closed || m_closed.size() >= max_closed)
            continue;
        worker->m_pass.m_closed = true;
        m_closed.push_back(number);
    }
}

} // namespace dragonflygap::cell
