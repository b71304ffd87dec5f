#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// A worker, and what of it stays taken: services and urgent work.
struct drainable_worker
{
    worker_id m_worker;
    resources m_capacity;
    resources m_pinned;
};

/// Workers on which a gang fits once their other work has ended, those with the most free room
/// first. Each widening takes half as many again. None if even all of them are too few.
std::vector<worker_id> plan_reservation(const job_spec& gang, int count, const engine& room,
                                        std::span<const drainable_worker> workers, int widenings);

struct gang_reservation_options
{
    duration m_patience = 10s; ///< Small tasks go first for this long.
    duration m_widen_after = 30s;
};

/// Lets small tasks go ahead of a waiting gang for a while, then keeps workers free for it. One
/// gang at a time, the longest waiting first, so two gangs never keep room from each other. Pure.
class gang_reservation
{
public:
    explicit gang_reservation(gang_reservation_options options) : m_options(options) {}

    /// A gang that found no room.
    void waits(const job_spec& gang, int count, engine& room,
               std::span<const drainable_worker> workers, instant now);

    /// The gang was placed, or isn't wanted any more.
    void ends(const job_id& gang, engine& room);

    /// Forgets the gangs that aren't wanted.
    void keep_only(const std::function<bool(const job_id&)>& wanted, engine& room);

    const std::optional<job_id>& holder() const { return m_holder; }

private:
    struct waiting_gang
    {
        job_id m_gang;
        instant m_since;
    };

    gang_reservation_options m_options;
    std::vector<waiting_gang> m_waiting; ///< Longest waiting first.
    std::optional<job_id> m_holder;
    instant m_last_plan{};
    int m_widenings = 0;
};

} // namespace dragonflygap::placement
