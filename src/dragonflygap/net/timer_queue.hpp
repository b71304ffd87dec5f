#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// The timers of an event loop on virtual time. The owner of the clock advances it from one timer
/// to the next.
class timer_queue
{
public:
    using timer_id = std::uint64_t;

    /// Adds a timer; periodic if an interval is given.
    timer_id add(instant due, duration interval, std::function<void()> work)
    {
        const auto id = ++m_last_id;
        m_timers[id] = {due, interval, std::move(work)};
        m_due.insert({{due, id}, id});
        return id;
    }

    void remove(timer_id id)
    {
        const auto found = m_timers.find(id);
        if (found == m_timers.end())
            return;
        m_due.erase({found->second.m_due_at, id});
        m_timers.erase(found);
    }

    /// When the next timer is due.
    std::optional<instant> next() const
    {
        if (m_due.empty())
            return std::nullopt;
        return m_due.begin()->first.first;
    }

    /// Runs the timer that is due next; now must not be earlier than that.
    void run_next(instant now)
    {
        const auto id = m_due.begin()->second;
        m_due.erase(m_due.begin());
        auto& timer = m_timers.at(id);
        const auto work = timer.m_work;
        if (timer.m_interval == duration{})
            m_timers.erase(id);
        else
        {
            // Missed periods are skipped: after a pause the timer fires once.
            timer.m_due_at = std::max(timer.m_due_at + timer.m_interval, now);
            m_due.insert({{timer.m_due_at, id}, id});
        }
        work();
    }

private:
    struct timer
    {
        instant m_due_at;
        duration m_interval{};
        std::function<void()> m_work;
    };

    timer_id m_last_id = 0;
    std::map<timer_id, timer> m_timers;
    std::map<std::pair<instant, timer_id>, timer_id> m_due;
};

} // namespace dragonflygap
