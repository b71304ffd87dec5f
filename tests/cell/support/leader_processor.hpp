#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

#include "dragonflygap/cell/events.hpp"
#include "dragonflygap/core/time.hpp"

namespace simulated
{

using namespace dragonflygap;
using namespace dragonflygap::cell;

/// Processor time that a leader needs; zero: it handles everything at once.
struct processor_costs
{
    duration m_event{};         ///< To handle an event.
    duration m_action{};        ///< To send an order, a call or a transaction.
    duration m_tick{};          ///< To run a tick, without its actions.
    duration m_step_per_tick{}; ///< In addition, for each waiting step.

    bool any() const { return m_event + m_action + m_tick + m_step_per_tick > duration{}; }
};

struct arrived_event
{
    instant m_at{};
    event m_event;
};

/// The order in which a busy leader handles what has arrived: events in order of arrival, and a
/// tick between them when one is due. Ticks that it misses are left out.
class leader_queue
{
public:
    void add(event incoming, instant now) { m_events.push_back({now, std::move(incoming)}); }
    void tick_due(instant now) { m_tick_due_since = m_tick_due_since.value_or(now); }

    std::optional<event> next(instant now)
    {
        constexpr int max_events = 16; // As event_loop handles before it looks for timers.
        if (m_tick_due_since && (m_events.empty() || m_since_tick >= max_events))
        {
            record_age(*std::exchange(m_tick_due_since, std::nullopt), now);
            m_since_tick = 0;
            return tick{};
        }
        if (m_events.empty())
            return std::nullopt;
        ++m_since_tick;
        auto result = std::move(m_events.front());
        m_events.pop_front();
        record_age(result.m_at, now);
        return std::move(result.m_event);
    }

    std::size_t size() const { return m_events.size(); }

    /// The longest time that an event or a tick waited here, of those taken out since the last call
    /// and those that still wait.
    duration take_longest_age(instant now)
    {
        if (!m_events.empty())
            record_age(m_events.front().m_at, now);
        if (m_tick_due_since)
            record_age(*m_tick_due_since, now);
        return std::exchange(m_longest_age, duration{});
    }

private:
    void record_age(instant arrived, instant now)
    {
        m_longest_age = std::max<duration>(m_longest_age, now - arrived);
    }

    std::deque<arrived_event> m_events;
    std::optional<instant> m_tick_due_since;
    duration m_longest_age{};
    int m_since_tick = 0;
};

} // namespace simulated
