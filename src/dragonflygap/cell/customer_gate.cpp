#include "dragonflygap/cell/customer_gate.hpp"

namespace dragonflygap::cell
{

namespace
{

// A gang that is wider than half of the limit may wait while the customer uses less than half. Its
// other jobs would then wait for seconds beside free capacity, so they may overtake it at first,
// but not for so long that it starves.
constexpr duration overtaking_delay = 1500ms; // half of the time in which such a job is to start
constexpr duration gang_patience = 10s;

// The runs that a gang waits for may last for hours. So it alternately keeps the others waiting,
// which is enough for the runs of most queues to end, and lets them go on.
constexpr duration gang_turn = 30s;

} // namespace

void customer_gate::begin_pass(instant now)
{
    ++m_pass;
    m_now = now;
}

void customer_gate::hold(customer_index customer, const held_step& step)
{
    if (customer >= m_entries.size())
        m_entries.resize(customer + 1);
    auto& one = m_entries[customer];
    if (one.m_pass != m_pass)
    {
        const bool goes_on = one.m_pass + 1 == m_pass && one.m_under_half_since != instant{};
        const auto since = goes_on ? one.m_under_half_since : m_now;
        one = {.m_pass = m_pass, .m_under_half_since = step.m_under_half ? since : instant{}};
    }
    if (step.m_gang && one.m_gang_since == instant{})
        one.m_gang_since = step.m_since;
    const auto turn = (m_now - step.m_since) / gang_turn;
    one.m_closed = one.m_closed || !step.m_gang || turn % 2 == 0;
}

bool customer_gate::is_closed(customer_index customer) const
{
    return customer < m_entries.size() && m_entries[customer].m_pass == m_pass &&
           m_entries[customer].m_closed;
}

bool customer_gate::may_overtake(customer_index customer) const
{
    if (customer >= m_entries.size())
        return false;
    const auto& one = m_entries[customer];
    return one.m_pass + 1 >= m_pass && one.m_under_half_since != instant{} &&
           m_now - one.m_under_half_since >= overtaking_delay && !keeps_turn(one);
}

// In its turn, an impatient gang isn't overtaken.
bool customer_gate::keeps_turn(const entry& one) const
{
    if (one.m_gang_since == instant{})
        return false;
    const auto waited = m_now - one.m_gang_since;
    return waited >= gang_patience && (waited / gang_turn) % 2 == 0;
}

} // namespace dragonflygap::cell
