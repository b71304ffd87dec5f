#pragma once

#include <map>
#include <span>

#include "dragonflygap/cell/job_load.hpp"
#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct customer_share_options
{
    /// A balance grows up to this time's worth of the customer's share, so that a customer isn't
    /// owed what it left unused long ago.
    duration m_full_after = 3s;
    /// The same in seconds of the whole cell; the higher of both holds. A few large jobs at once
    /// are no excess, however small the customer's share is.
    double m_min_full_s = 0.2;
    /// A balance is positive again after this time at the latest, whatever was charged.
    duration m_max_debt = 10s;
    /// What the others send beyond their shares lets a balance grow faster, by this times the same
    /// proportion: in a general burst nobody's jobs are beyond a share.
    double m_burst_factor = 2;
    duration m_load_time = 3s; ///< Over which the load of the others is averaged.
};

/// Tells which jobs are within their customer's share of the cell: dominant-resource fairness,
/// counted over time. Answers a customer that sends several times its usual load for some seconds,
/// whose excess must not delay the jobs of others. Does no I/O and reads no clock.
///
/// A customer has a balance for each priority, for its jobs that are as urgent or more, as its
/// urgent work precedes the rest. Balances are in seconds of the whole cell's dominant resource.
class customer_shares
{
public:
    explicit customer_shares(customer_share_options options = {}) : m_options(options) {}

    /// The customers in force. Those that stay keep their balances; new ones begin with full ones.
    void set_customers(const std::map<customer_id, customer_rules>& customers, instant now);

    /// Of all listed workers together.
    void set_capacity(const resources& capacity) { m_capacity = capacity; }

    /// Time for which a load takes the whole cell: of each task, the resource of which it takes the
    /// largest share counts. 0 while the capacity is unknown.
    double cell_seconds(std::span<const step_load> load) const;

    /// Whether a job that is accepted now is beyond its customer's share. False for customers that
    /// aren't in force.
    bool is_beyond(const customer_id& customer, int priority, instant now) const;

    /// Charges a job. One that is beyond the share gets only what others leave at its priority, so
    /// it is charged only to the customer's less urgent jobs, which it precedes all the same.
    void charge(const customer_id& customer, int priority, bool beyond, double seconds,
                instant now);

    /// In seconds of the whole cell; 0 for customers that aren't in force.
    double balance(const customer_id& customer, int priority, instant now) const;

private:
    /// Work accepted of late, in seconds of the cell for each second.
    struct load_average
    {
        double m_rate = 0;
        instant m_at{}; ///< When m_rate was right; it has declined since.
    };
    struct balance_state
    {
        double m_seconds = 0;
        load_average m_load; ///< m_seconds was right at the same time; it has grown since.
    };
    struct account
    {
        double m_share = 0;                      ///< Of the whole cell.
        std::map<int, balance_state> m_balances; ///< By priority; those charged at least once.
    };

    double rate(const load_average& load, instant now) const;
    double others_load(const account& of, int priority, double own, instant now) const;
    double full_balance(const account& of) const;
    balance_state current(const account& of, int priority, instant now) const;

    customer_share_options m_options;
    resources m_capacity;
    std::map<customer_id, account> m_accounts;
    std::map<int, load_average> m_loads; ///< Of all customers, by priority, as in their balances.
};

} // namespace dragonflygap::cell
