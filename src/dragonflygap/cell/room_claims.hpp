#pragma once

#include <map>
#include <vector>

#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// Room for some tasks of a step on one worker.
struct task_places
{
    worker_id m_worker;
    int m_tasks = 0;
};

/// Room that a step needs once the approval that it asks for is there: places on workers known to
/// be approved are kept, those on workers that may turn out to be approved are only hoped for.
struct room_claim
{
    int m_priority = 0;
    resources m_size;                 ///< Of one task.
    std::vector<task_places> m_kept;  ///< Nobody else of this urgency or less gets it.
    std::vector<task_places> m_hoped; ///< Others may take it, but are named elsewhere if possible.
    double m_hope = 0;                ///< Share of the hoped places that will be approved.
};

/// The claims of all steps, applied to the workers at the opening of each pass. Claims bind steps
/// of the same or a less urgent priority; more urgent ones only avoid them. Pure.
class room_claims
{
public:
    using worker_map = std::map<worker_id, worker_state>;

    void set(const step_key& step, room_claim claim);
    void drop(const step_key& step) { m_claims.erase(step); }
    bool has(const step_key& step) const { return m_claims.count(step) != 0; }

    /// True if the step is kept places on the worker.
    bool keeps(const step_key& step, const worker_id& worker) const;

    /// Counts all claims as avoidable; before any step is looked at.
    void open_pass(worker_map& workers);

    bool any_avoidable() const { return !m_avoidable.empty(); }

    /// Makes the claims up to this priority binding; steps are looked at in order of priority.
    void reach(int priority);

    /// Takes a step's own claim out of the pass, so that it sees the room kept for it.
    void lift(const step_key& step, worker_map& workers) const;

    /// Puts it back.
    void restore(const step_key& step, worker_map& workers) const;

private:
    struct applied
    {
        int m_priority = 0;
        worker_state* m_worker = nullptr;
        resources m_size;
    };

    std::map<step_key, room_claim> m_claims;
    std::vector<applied> m_avoidable; ///< Of the present pass, least urgent first.
};

} // namespace dragonflygap::cell
