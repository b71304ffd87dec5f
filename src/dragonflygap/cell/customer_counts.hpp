#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "dragonflygap/cell/queue_rules.hpp"

namespace dragonflygap::cell
{

/// Why a submitted job wasn't accepted.
enum class rejection_cause
{
    store_unavailable,
    queue_full,
    memory_full,
    customer_backlog, ///< Its customer's backlog would delay it until it is of no use.
    not_stored,       ///< The store refuses it.
};
inline constexpr std::array<std::string_view, 5> rejection_cause_names = {
    "store_unavailable", "queue_full", "memory_full", "customer_backlog", "not_stored"};

inline std::string_view name_of(rejection_cause cause)
{
    return rejection_cause_names[static_cast<std::size_t>(cause)];
}

/// Jobs of one customer.
struct customer_count
{
    std::uint64_t m_beyond_share = 0; ///< Accepted.
    std::array<std::uint64_t, rejection_cause_names.size()> m_rejected{}; ///< By rejection_cause.

    std::uint64_t all_rejected() const
    {
        std::uint64_t sum = 0;
        for (const auto count : m_rejected)
            sum += count;
        return sum;
    }
};

/// Counts jobs by customer until they are taken. Jobs without a customer aren't counted.
class customer_counts
{
public:
    void add_beyond_share(const customer_id& customer)
    {
        if (!customer.empty())
            ++m_counts[customer].m_beyond_share;
    }
    void add_rejected(const customer_id& customer, rejection_cause cause)
    {
        if (!customer.empty())
            ++m_counts[customer].m_rejected[static_cast<std::size_t>(cause)];
    }

    /// The counts since the last call.
    std::map<customer_id, customer_count> take() { return std::exchange(m_counts, {}); }

private:
    std::map<customer_id, customer_count> m_counts;
};

} // namespace dragonflygap::cell
