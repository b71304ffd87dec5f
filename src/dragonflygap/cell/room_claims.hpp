#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/cell/worker_index.hpp"

namespace dragonflygap::cell
{

/// Places for some tasks of a step on one worker.
struct task_places
{
    worker_number m_worker = 0;
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
    /// Whose limit the step's tasks will use, and for how many of them.
    customer_index m_customer = no_customer;
    int m_tasks = 0;
};

/// The claims of all steps, kept at the workers they are for. Claims bind steps of the same or
/// lower priority; steps of higher priority only avoid them. Does no I/O.
class room_claims
{
public:
    explicit room_claims(worker_index& workers, customer_usage* usage = nullptr)
        : m_workers(workers), m_usage(usage)
    {
    }

    /// Replaces the step's claim.
    void set(const step_key& step, room_claim claim);
    void drop(const step_key& step);
    bool has(const step_key& step) const { return m_claims.count(step) != 0; }

    /// True if the step has a firm place on the worker.
    bool has_firm_claim(const step_key& step, worker_number worker) const;

    /// True if steps of lower priority have firm places.
    bool any_below(int priority) const;

    /// Removes a step's own firm claim until resume(), so that the step can use this capacity and
    /// this part of its customer's limit.
    void suspend(const step_key& step);
    void resume();

    /// To be called before a worker is removed.
    void forget(worker_number worker);

private:
    void add_firm(const room_claim& claim);
    void remove_firm(const room_claim& claim);
    void add_tentative(const room_claim& claim, int sign);
    void count_firm(int priority, int change);

    worker_index& m_workers;
    customer_usage* m_usage; ///< May be null.
    std::map<step_key, room_claim> m_claims;
    std::optional<step_key> m_suspended; ///< One of m_claims.
    std::map<int, int> m_firm_counts;    ///< Claims with firm places, by priority.
};

} // namespace dragonflygap::cell
