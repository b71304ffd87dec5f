#pragma once

#include <map>
#include <vector>

#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// Places for some tasks of a step on one worker.
struct task_places
{
    worker_id m_worker;
    int m_tasks = 0;
};

/// Capacity that a step will need when its approval call is answered: firm places on workers known
/// to be approved, tentative ones on workers that may turn out to be approved.
struct room_claim
{
    int m_priority = 0;
    resources m_size;                ///< Of one task.
    std::vector<task_places> m_firm; ///< Unavailable to steps of the same or lower priority.
    /// Available to others, but avoided when choosing workers for an approval call.
    std::vector<task_places> m_tentative;
    double m_approval_rate = 0; ///< Expected share of the tentative places that is approved.
};

/// The claims of all steps, applied to the workers at the beginning of each pass. Claims
/// bind steps of the same or lower priority; steps of higher priority only avoid them. Does no I/O.
class room_claims
{
public:
    using worker_map = std::map<worker_id, worker_state>;

    void set(const step_key& step, room_claim claim);
    void drop(const step_key& step) { m_claims.erase(step); }
    bool has(const step_key& step) const { return m_claims.count(step) != 0; }

    /// True if the step has a firm place on the worker.
    bool has_firm_claim(const step_key& step, const worker_id& worker) const;

    /// Counts all claims as lower priority; to be called before any step is placed.
    void begin_pass(worker_map& workers);

    /// True if there are claims that aren't binding yet.
    bool any_lower_priority() const { return !m_lower_priority.empty(); }

    /// Makes the claims up to this priority binding; steps are visited in order of priority.
    void bind_up_to(int priority);

    /// Removes a step's own claim from the pass, so that the step can use this capacity.
    void suspend(const step_key& step, worker_map& workers) const;

    /// Restores the claim.
    void resume(const step_key& step, worker_map& workers) const;

private:
    struct applied
    {
        int m_priority = 0;
        worker_state* m_worker = nullptr;
        resources m_size;
    };

    std::map<step_key, room_claim> m_claims;
    /// Claims of this pass that aren't binding yet, least urgent first.
    std::vector<applied> m_lower_priority;
};

} // namespace dragonflygap::cell
