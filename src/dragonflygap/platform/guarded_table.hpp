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

/// Sends one task's calls to the table through a call gate. Calls that the gate rejects fail with
/// not_run.
class guarded_table
{
public:
    guarded_table(event_loop& loop, table_port table, call_gate_options options, metrics& registry);

    /// The table for calls of one priority; must not outlive this object.
    table_port port(call_priority priority);

    /// Sets the number of entry VMs that share the platform's rate limit.
    void set_vm_count(int vm_count);

private:
    struct pending_call
    {
        std::function<void(gate_call_id id)> m_start;
        std::function<void(failure)> m_reject;
    };

    void enqueue(call_kind kind, call_priority priority, pending_call call);
    void process_event(const gate_event& event);
    void execute(const start_call& action);
    void execute(const reject_call& action);
    template <class T>
    void on_answer(gate_call_id id, call_kind kind, instant started, const outcome<T>& result);

    event_loop& m_loop;
    table_port m_table;
    call_gate m_gate;
    metrics& m_metrics;
    gate_call_id m_last_id = 0;
    std::unordered_map<gate_call_id, pending_call> m_pending;
    event_loop::timer_ptr m_timer;
};

} // namespace platform

} // namespace dragonflygap
