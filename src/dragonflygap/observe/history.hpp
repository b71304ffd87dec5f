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

/// Events of a run, which the history checker reads back from the logs.
///
/// Each struct is one log line, whose event name is the name of the struct. The names of events
/// and of their keys are stable.
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
/// A configuration document became active on this node.
struct config_in_force
{
    std::uint64_t m_version = 0;
};
/// This node gained or lost ownership of a group of workers.
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
    std::uint32_t m_hops = 0; ///< 0: from a caller; otherwise forwarded by a peer.
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
/// Failed; the verdict is the one reported to the caller or peer.
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

/// Recorded by the platform: an executor started to run a request.
struct execution_started
{
    request_id m_request;
    std::string m_token; ///< Token that the caller put into the body; empty if there is none.
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
/// The platform's VM list reports a worker as leaving.
struct worker_leaving
{
    worker_id m_worker;
};
/// A configuration document was committed to the table.
struct config_committed
{
    std::uint64_t m_version = 0;
};

/// Recorded by a caller: the result of the request that carried its token.
struct caller_answered
{
    std::string m_token;
    std::string m_echo; ///< The token in the answer; empty if there was no answer.
    verdict m_verdict = verdict::ran;
};

/// Recorded by the fault injector; the checker tolerates delays of this node until fault_healed.
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

/// Formats one log line: vm=VM event=NAME at_us=MICROSECONDS and the event's keys.
std::string format(std::string_view vm, const event& recorded, instant at);

/// Passes an event to the sink if one is set, else writes it to the log whatever the log level.
void record(const event& recorded);

/// Replaces the log as the destination of events; an empty function restores it. For
/// single-threaded tests.
void set_sink(std::function<void(const event& recorded, instant at)> sink);

} // namespace dragonflygap::history
