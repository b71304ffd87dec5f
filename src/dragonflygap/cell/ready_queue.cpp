#include "dragonflygap/cell/ready_queue.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

std::size_t ready_queue::lower_bound(const step_rank& rank) const
{
    const auto found = std::lower_bound(m_slots.begin(), m_slots.end(), rank,
                                        [](const slot& one, const step_rank& wanted)
                                        { return one.m_step->m_rank < wanted; });
    return static_cast<std::size_t>(found - m_slots.begin());
}

bool ready_queue::contains(const step_rank& rank) const
{
    return find(rank) != nullptr;
}

const ready_step* ready_queue::find(const step_rank& rank) const
{
    const auto position = lower_bound(rank);
    return position < size() && at(position).m_rank == rank ? &at(position) : nullptr;
}

void ready_queue::insert(const step_rank& rank, const std::shared_ptr<job_state>& job)
{
    const auto position = lower_bound(rank);
    if (position < size() && at(position).m_rank == rank)
        return set_wake_at(position, {});
    const auto& key = rank.m_step;
    auto added =
        std::make_unique<ready_step>(ready_step{.m_rank = rank,
                                                .m_job = job,
                                                .m_state = &job->step(key.m_occurrence, key.m_step),
                                                .m_task_size = size_of(job->spec(key.m_step)),
                                                .m_customer = job->m_customer});
    m_slots.insert(m_slots.begin() + static_cast<std::ptrdiff_t>(position),
                   {.m_step = std::move(added)});
}

void ready_queue::erase(const step_rank& rank)
{
    const auto position = lower_bound(rank);
    if (position < size() && at(position).m_rank == rank)
        m_slots.erase(m_slots.begin() + static_cast<std::ptrdiff_t>(position));
}

void ready_queue::wake(const step_rank& rank)
{
    const auto position = lower_bound(rank);
    if (position < size() && at(position).m_rank == rank)
        set_wake_at(position, {});
}

} // namespace dragonflygap::cell
