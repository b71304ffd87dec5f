#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"

/// What happened, as events that the history checker reads back from the logs.
///
/// The names of events and of their keys are stable: each struct is one line, its name the event's.
namespace dragonflygap::history
{

struct node_started
{
    std::uint64_t m_incarnation = 0;
};
struct node_draining
{
};
struct node_stopped
{
};
/// A document is in force on this node.
struct config_in_force
{
    std::uint64_t m_version = 0;
};
/// A group of workers is owned from now on, or no longer.
struct lease_changed
{
    data_centre_id m_data_centre;
    std::uint32_t m_group = 0;
    std::uint64_t m_epoch = 0;
    bool m_held = false;
};

struct request_accepted
{
    request_id m_request;
    class_id m_class;
    caller_id m_caller;
    idempotency_key m_key;
    bool m_idempotent = true;
    std::uint32_t m_hops = 0; ///< 0: from a caller, more: from a peer.
};
struct request_dispatched
{
    request_id m_request;
    target_id m_target;
};
struct request_forwarded
{
    request_id m_request;
    vm_id m_peer;
};
struct request_answered
{
    request_id m_request;
};
/// Ended without an answer; the verdict is what the caller or peer is told.
struct request_refused
{
    request_id m_request;
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::internal;
};

struct task_start_sent
{
    task_id m_task;
    worker_id m_worker;
    std::uint64_t m_epoch = 0;
};
struct task_started
{
    task_id m_task;
    worker_id m_worker;
};
struct task_start_failed
{
    task_id m_task;
    worker_id m_worker;
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::internal;
};
struct task_ended
{
    task_id m_task;
    worker_id m_worker;
    std::string m_state;
};

/// Recorded by the platform's side: an executor began to run a request.
struct execution_started
{
    request_id m_request;
    std::string m_token; ///< The caller's own mark in the body; empty if there is none.
    target_id m_target;
    worker_id m_worker;
    int m_slots = 0;
    duration m_run_time{};
};
struct worker_task_started
{
    task_id m_task;
    worker_id m_worker;
    resources m_size;
    resources m_capacity;
};
struct worker_task_ended
{
    task_id m_task;
    worker_id m_worker;
};
/// The platform's list of VMs shows a worker as leaving from now on.
struct worker_leaving
{
    worker_id m_worker;
};
/// The table accepted a document.
struct config_committed
{
    std::uint64_t m_version = 0;
};

/// Recorded by a caller: what it got for the request that carried its token.
struct caller_answered
{
    std::string m_token;
    std::string m_echo; ///< The token in the answer; empty if there was no answer.
    verdict m_verdict = verdict::ran;
};

/// Recorded by whoever injects faults: a node can't be expected to keep up until it is healed.
struct fault_injected
{
    vm_id m_target_vm;
    std::string m_kind;
};
struct fault_healed
{
    vm_id m_target_vm;
    std::string m_kind;
};

using event =
    std::variant<node_started, node_draining, node_stopped, config_in_force, lease_changed,
                 request_accepted, request_dispatched, request_forwarded, request_answered,
                 request_refused, task_start_sent, task_started, task_start_failed, task_ended,
                 execution_started, worker_task_started, worker_task_ended, worker_leaving,
                 config_committed, caller_answered, fault_injected, fault_healed>;

/// One log line: vm=VM event=NAME at_us=MICROSECONDS and the event's keys.
std::string format(std::string_view vm, const event& what, instant at);

/// Writes an event to the log, whatever its level, or gives it to the sink that is set.
void record(const event& what);

/// Takes the events in place of the log; nothing: the log. For tests of one thread.
void set_sink(std::function<void(const event& what, instant at)> sink);

} // namespace dragonflygap::history
