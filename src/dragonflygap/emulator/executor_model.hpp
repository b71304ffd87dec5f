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

/// Stand-in for one executor: runs requests in a fixed number of slots.
class executor_model
{
public:
    explicit executor_model(int slots) : m_slots(slots) {}

    /// Starts a request; false if all slots are taken and the limit is kept.
    bool start(const request_id& request, duration run_time, instant now,
               bool enforce_slots = true);

    execution_state state_of(const request_id& request, instant now) const;

    int running(instant now) const;

    /// How often a request was started; more than once is a doubled request.
    int starts_of(const request_id& request) const;

private:
    struct execution
    {
        instant m_end;
        int m_starts = 0;
    };

    int m_slots;
    std::deque<request_id> m_order;
    std::unordered_map<request_id, execution> m_executions;
    mutable std::deque<instant> m_ends;
};

} // namespace dragonflygap::emulator
