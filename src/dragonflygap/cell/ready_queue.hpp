#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "dragonflygap/cell/objective.hpp"

namespace dragonflygap::cell
{

/// The order in which steps are placed: by priority, then those that can meet their objective,
/// then by rank time.
struct step_rank
{
    int m_priority = 0;
    lateness m_lateness = lateness::on_time;
    instant m_rank_time{};
    step_key m_step;

    auto operator<=>(const step_rank&) const = default;
};

/// A due step with waiting tasks.
struct ready_step
{
    step_rank m_rank;
    std::shared_ptr<job_state> m_job;
    step_state* m_state = nullptr; ///< In the job.
    resources m_task_size;
    /// The service time of the approval call that it couldn't make as all VMs were busy; zero: it
    /// waits for no VM.
    duration m_wanted_call{};
    bool m_without_room = false; ///< No worker had room for one of its tasks.
    customer_index m_customer = no_customer;
    bool m_held_back = false; ///< By its customer's limit, itself or behind another step.
    /// Since when the limit has held it back itself; zero: it doesn't.
    instant m_over_limit_since{};
    std::uint64_t m_limit_changes = 0; ///< Of its customer, when the limit last held it back.
};

/// The ready steps of a cell in order of rank. Each has a time at which it is looked at again, so
/// that a pass over hundreds of waiting steps costs little more than the few that can go on. Does
/// no I/O.
class ready_queue
{
public:
    std::size_t size() const { return m_slots.size(); }
    bool contains(const step_rank& rank) const;

    /// Adds a step, unless it is there, to be looked at by the next pass.
    void insert(const step_rank& rank, const std::shared_ptr<job_state>& job);
    void erase(const step_rank& rank);

    /// The next pass looks at the step, if it is ready.
    void wake(const step_rank& rank);

    /// nullptr if the step isn't there.
    const ready_step* find(const step_rank& rank) const;

    /// By position in the order of rank.
    ready_step& at(std::size_t position) const { return *m_slots[position].m_step; }
    instant wake_at(std::size_t position) const { return m_slots[position].m_wake_at; }
    void set_wake_at(std::size_t position, instant when) { m_slots[position].m_wake_at = when; }

private:
    struct slot
    {
        instant m_wake_at{};
        std::unique_ptr<ready_step> m_step;
    };

    /// The position of the first step that doesn't precede the rank.
    std::size_t lower_bound(const step_rank& rank) const;

    std::vector<slot> m_slots;
};

} // namespace dragonflygap::cell
