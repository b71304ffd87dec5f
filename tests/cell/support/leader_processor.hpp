#pragma once

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

/// The order in which a busy leader handles what has arrived: events in order of arrival, and a
/// tick between them when one is due. Ticks that it misses are left out.
class leader_queue
{
public:
    void add(event incoming) { m_events.push_back(std::move(incoming)); }
    void tick_due() { m_tick_due = true; }

    std::optional<event> next()
    {
        constexpr int max_events = 16; // As event_loop handles before it looks for timers.
        if (m_tick_due && (m_events.empty() || m_since_tick >= max_events))
        {
            m_tick_due = false;
            m_since_tick = 0;
            return tick{};
        }
        if (m_events.empty())
            return std::nullopt;
        ++m_since_tick;
        auto result = std::move(m_events.front());
        m_events.pop_front();
        return result;
    }

    std::size_t size() const { return m_events.size(); }

private:
    std::deque<event> m_events;
    bool m_tick_due = false;
    int m_since_tick = 0;
};

} // namespace simulated
