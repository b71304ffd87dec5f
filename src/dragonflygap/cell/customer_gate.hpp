#pragma once

#include <cstdint>
#include <vector>

#include "dragonflygap/cell/customer_usage.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// A step that its customer's limit holds back.
struct held_step
{
    instant m_since{}; ///< Since when the limit has held it back in each pass.
    bool m_gang = false;
    bool m_under_half = false; ///< No more than half of the customer's limit is in use.
};

/// Lets the steps of a customer wait behind one that the customer's limit holds back, so that small
/// tasks don't take what is set free for a wide gang. Answers the load of a customer with hundreds
/// of steps beyond its limit: a pass looks at the first of them only. Does no I/O and reads no
/// clock.
class customer_gate
{
public:
    void begin_pass(instant now);

    /// The limit holds back a step in this pass.
    void hold(customer_index customer, const held_step& step);

    /// True if the later steps of the customer wait in this pass.
    bool is_closed(customer_index customer) const;

    /// True if steps of the customer have waited for long although it uses little. A step that has
    /// nothing running may go before others then, and use what others claim.
    bool may_overtake(customer_index customer) const;

private:
    struct entry
    {
        std::uint64_t m_pass = 0;     ///< The last in which a step was held back.
        instant m_gang_since{};       ///< Of the first gang in that pass that was; zero: none.
        bool m_closed = false;        ///< In that pass.
        instant m_under_half_since{}; ///< Steps have been held back in each pass since.
    };

    bool keeps_turn(const entry& one) const;

    std::uint64_t m_pass = 1;
    instant m_now{};
    std::vector<entry> m_entries; ///< By customer.
};

} // namespace dragonflygap::cell
