#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// Number of a customer within one leader.
using customer_index = std::uint32_t;
inline constexpr customer_index no_customer = 0;

/// Tasks of one size that a customer wants to start.
struct customer_start
{
    customer_index m_customer = no_customer;
    resources m_size;         ///< Of one task.
    resources m_stored_limit; ///< Of the job, if the configuration doesn't list the customer.
    int m_priority = 0;
    bool m_ignores_claims = false;
    bool m_may_exceed = true; ///< Above the limit by one task, from half of it.
};

/// What a customer uses and may use, for reports.
struct customer_figures
{
    customer_id m_name;
    resources m_used;
    resources m_limit; ///< In force, or the last one that was; 0: no limit.
    bool m_listed = false;
};

/// Counts what the runs of each customer use on all workers together, and decides how many more may
/// start within the customer's limit. A decision costs the same however many workers, runs and
/// customers there are: it answers the load of a leader that starts hundreds of tasks a second.
/// Does no I/O and reads no clock.
class customer_usage
{
public:
    customer_usage() : m_entries(1) {}

    /// Adds the customer unless it is known; no_customer for an empty name.
    customer_index index_of(const customer_id& customer);
    bool any() const { return m_entries.size() > 1; }
    customer_index end() const { return static_cast<customer_index>(m_entries.size()); }

    /// Applies a version of the configuration. Until the first one, no customer may start anything.
    void set_limits(std::span<const customer_rules> customers);
    bool is_listed(const customer_id& customer) const;
    /// no_customer if it is unknown.
    customer_index find(const customer_id& customer) const;

    /// To be called only where a run is added to or removed from a worker.
    void add(customer_index customer, const resources& size, bool size_known);
    void remove(customer_index customer, const resources& size, bool size_known);
    /// To be called only where the order of a run is sent or settled: answered, without an answer
    /// in time, or ended.
    void order_sent(customer_index customer);
    void order_settled(customer_index customer);
    /// An order that was sent at this time got no answer.
    void order_unclear(customer_index customer, instant sent);
    int open_orders(customer_index customer) const { return m_entries[customer].m_open_orders; }
    /// When the last order that got no answer was sent.
    instant last_unclear(customer_index customer) const { return m_entries[customer].m_unclear; }
    const resources& used(customer_index customer) const { return m_entries[customer].m_used; }
    int runs_of_unknown_size() const { return m_unknown_size_count; }

    /// Capacity that other steps of the customer are about to use, as they wait for approval.
    void add_claim(customer_index customer, int priority, const resources& size);
    void remove_claim(customer_index customer, int priority, const resources& size);

    /// What may be in use without the leader's knowledge: by any customer, and on workers where
    /// nothing but the restored tasks of each customer can run.
    void set_unknown(const resources& by_any, const resources& by_restored);
    /// Size of the restored tasks, by index; 0 for customers beyond its end.
    void set_restored(std::vector<resources> restored);

    /// How many of the wanted tasks may start one after another.
    int max_starts(const customer_start& start, int wanted) const;
    /// True if a gang may start: all its tasks or none.
    bool fits_gang(const customer_start& gang, int count) const;
    /// True if the gang may start while nothing else of the customer runs.
    bool ever_fits_gang(const customer_start& gang, int count) const;
    /// True if no more than half of any limit is in use.
    bool under_half(const customer_start& start) const;

    /// Changes whenever more may have become possible for a customer.
    std::uint64_t changes(customer_index customer) const
    {
        return m_entries[customer].m_changes + m_changes;
    }

    std::vector<customer_figures> figures() const;

private:
    struct claim
    {
        int m_priority = 0;
        resources m_size;
    };
    struct entry
    {
        customer_id m_name;
        resources m_used;
        int m_open_orders = 0; ///< Sent and not settled.
        instant m_unclear{};
        resources m_limit; ///< As last listed.
        bool m_listed = false;
        bool m_was_listed = false;
        std::vector<claim> m_claims; ///< One for each priority.
        std::uint64_t m_changes = 0;
    };

    resources limit_of(const customer_start& start) const;
    /// Used, or counted as used until the leader knows better.
    resources counted(customer_index customer) const;
    resources claimed(const customer_start& start) const;

    std::vector<entry> m_entries; ///< By index; the first one stands for no customer.
    std::map<customer_id, customer_index> m_indices;
    std::vector<resources> m_restored;
    resources m_unknown_by_any;
    resources m_unknown_by_restored;
    int m_unknown_size_count = 0;
    bool m_limits_known = false;
    std::uint64_t m_changes = 0; ///< That concern every customer.
};

} // namespace dragonflygap::cell
