#pragma once

#include <deque>
#include <unordered_map>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::emulator
{

enum class execution_state
{
    unknown,
    running,
    done,
};

/// Emulates an executor, which runs requests in a fixed number of slots.
class executor_model
{
public:
    explicit executor_model(int slots) : m_slots(slots) {}

    /// Starts a request; returns false if all slots are in use and enforce_slots is set.
    bool start(const request_id& request, duration run_time, instant now,
               bool enforce_slots = true);

    execution_state state_of(const request_id& request, instant now) const;

    int running(instant now) const;

    /// How often a request was started; more than once means a duplicate execution.
    int start_count(const request_id& request) const;

private:
    struct execution
    {
        instant m_end;
        int m_start_count = 0;
    };

    int m_slots;
    std::deque<request_id> m_order; ///< By first start, to evict the oldest execution.
    std::unordered_map<request_id, execution> m_executions;
    mutable std::deque<instant> m_end_times;
};

} // namespace dragonflygap::emulator
