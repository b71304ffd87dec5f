#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// A worker, and the part of its capacity that doesn't drain: services and urgent tasks.
struct drainable_worker
{
    worker_id m_worker;
    resources m_capacity;
    resources m_pinned;
};

/// Returns workers on which a gang fits once their other work has ended, those with the most free
/// capacity first. Each widening raises the number of planned tasks by half. Empty if all workers
/// together are too small.
std::vector<worker_id> plan_reservation(const job_spec& gang, int count, const engine& placements,
                                        std::span<const drainable_worker> workers, int widenings);

struct gang_reservation_options
{
    duration m_reservation_delay = 10s; ///< Smaller tasks may go first for this long.
    duration m_widen_interval = 30s;
};

/// Lets small tasks go ahead of a waiting gang for a while, then reserves workers for it. Reserves
/// for one gang at a time, the longest waiting first, so that gangs never block each other.
/// Performs no I/O.
class gang_reservation
{
public:
    explicit gang_reservation(gang_reservation_options options) : m_options(options) {}

    /// Reports that a gang could not be placed.
    void record_waiting(const job_spec& gang, int count, engine& placements,
                        std::span<const drainable_worker> workers, instant now);

    /// Reports that the gang was placed or no longer waits.
    void record_end(const job_id& gang, engine& placements);

    /// Removes the gangs for which wanted() is false.
    void retain(const std::function<bool(const job_id&)>& wanted, engine& placements);

    const std::optional<job_id>& holder() const { return m_holder; }

private:
    struct waiting_gang
    {
        job_id m_gang;
        instant m_waiting_since;
    };

    gang_reservation_options m_options;
    std::vector<waiting_gang> m_waiting; ///< Longest waiting first.
    std::optional<job_id> m_holder;
    instant m_last_plan_at{};
    int m_widenings = 0;
};

} // namespace dragonflygap::placement
