#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/platform/call_gate.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap
{

class metrics;

namespace platform
{

/// The table behind a call gate, for one task. Calls that the gate refuses fail with not_run.
class guarded_table
{
public:
    guarded_table(event_loop& loop, table_port table, call_gate_options options, metrics& counted);

    /// The table for callers of one priority; must not outlive this.
    table_port port(call_priority priority);

    /// How many entry VMs share the platform's allowance now.
    void set_vm_count(int sharers);

private:
    struct pending_call
    {
        std::function<void(gate_call_id id)> m_start;
        std::function<void(failure)> m_refuse;
    };

    void want(call_kind kind, call_priority priority, pending_call call);
    void run(const gate_event& event);
    void act(const start_call& action);
    void act(const refuse_call& action);
    template <class T>
    void ended(gate_call_id id, call_kind kind, instant started, const outcome<T>& result);

    event_loop& m_loop;
    table_port m_table;
    call_gate m_gate;
    metrics& m_metrics;
    gate_call_id m_last = 0;
    std::unordered_map<gate_call_id, pending_call> m_pending;
    event_loop::timer_ptr m_timer;
};

} // namespace platform

} // namespace dragonflygap
