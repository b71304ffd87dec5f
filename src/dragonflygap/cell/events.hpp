#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"

/// Events that the leader handles and actions that it requests.
namespace dragonflygap::cell
{

struct job_submitted
{
    std::uint64_t m_call = 0;
    job_id m_job;
    queue_rules m_queue;
    job_request m_request;
    customer_id m_customer; ///< Empty: none.
};
struct job_cancelled
{
    std::uint64_t m_call = 0;
    job_id m_job;
};
struct workers_listed
{
    std::vector<worker_info> m_workers;
    std::vector<worker_id> m_unlisted; ///< They were removed, unless the list is complete.
    bool m_complete = true;            ///< Workers that aren't in m_workers are unlisted.
    instant m_confirmed_at{};          ///< All changes until then are known; zero: unknown.
};
struct commit_answered
{
    std::uint64_t m_number = 0; ///< As in send_commit.
    outcome<transaction_result> m_result;
};
struct leader_row_read
{
    std::uint64_t m_number = 0; ///< As in read_leader_row.
    outcome<stored_row> m_row;
};
struct renewal_answered
{
    worker_id m_worker;
    instant m_sent{}; ///< As in send_renewal.
    outcome<worker_report> m_result;
};
struct start_answered
{
    worker_id m_worker;
    task_key m_task;
    std::uint64_t m_run = 0;
    outcome<start_result> m_result;
    instant m_sent{}; ///< Zero: unknown.
};
struct stop_answered
{
    worker_id m_worker;
    task_key m_task;
    std::uint64_t m_run = 0;
    outcome<start_result> m_result;
    instant m_sent{}; ///< As in send_stop.
};
struct approval_answered
{
    std::uint64_t m_call = 0; ///< As in request_approval.
    step_key m_step;
    vm_id m_via;
    std::vector<worker_id> m_workers; ///< The workers named in the call.
    outcome<approval> m_result;
    duration m_response_time{}; ///< From the call's arrival at the VM to the service's answer.
    std::optional<duration> m_backlog_time; ///< As reported by the VM; nothing if it didn't answer.
    /// At the VM until the call was sent to the service; nothing if it wasn't sent, or unknown.
    std::optional<duration> m_waited;
};
/// VMs that answer heartbeats: approvals may be requested through them.
struct members_changed
{
    std::vector<vm_id> m_members;
    std::int64_t m_least_memory_mb = 0; ///< Of a VM that may lead; 0: unknown.
};
/// The store has answered a read of a VM of the cell, which may be another one.
struct store_heard
{
    instant m_at{};
};
/// The customers of the configuration in force: at the start of a leader that knows one, and with
/// each later version.
struct config_changed
{
    std::uint64_t m_version = 0;
    std::vector<customer_rules> m_customers;
};
struct tick
{
};
using event = std::variant<job_submitted, job_cancelled, workers_listed, commit_answered,
                           leader_row_read, renewal_answered, start_answered, stop_answered,
                           approval_answered, members_changed, store_heard, config_changed, tick>;

enum class call_status
{
    accepted, ///< The submission or cancellation is stored, or the job has ended.
    rejected, ///< Not stored and will never run; retry later.
    unknown,  ///< May have been stored.
    not_here, ///< The leader doesn't know the job; it may have ended long ago.
    /// As rejected, since the customer's backlog at its limit would delay the job too long.
    over_limit,
};

/// True if the submission wasn't stored and the job will never run.
inline bool is_rejection(call_status status)
{
    return status == call_status::rejected || status == call_status::over_limit;
}

/// Answers a submission or a cancellation.
struct answer_call
{
    std::uint64_t m_call = 0;
    call_status m_status = call_status::accepted;
    std::int64_t m_retry_after_ms = 0;
};
struct send_commit
{
    std::uint64_t m_number = 0; ///< Returned in the answer; the same for every attempt.
    transaction m_change;
};
/// Reads the leader's row because the answer to a transaction is overdue.
struct read_leader_row
{
    std::uint64_t m_number = 0; ///< Of the transaction; returned in the answer.
};
struct send_renewal
{
    worker_address m_worker;
    instant m_sent{}; ///< Returned in the answer.
    renewal m_renewal;
};
struct send_start
{
    worker_address m_worker;
    start_order m_order;
    duration m_timeout{};
    instant m_sent{}; ///< Returned in the answer.
};
struct send_stop
{
    worker_address m_worker;
    task_key m_task;
    std::uint64_t m_run = 0;
    duration m_timeout{};
    instant m_sent{}; ///< Returned in the answer.
};
struct request_approval
{
    std::uint64_t m_call = 0; ///< Returned in the answer.
    vm_id m_via;              ///< The VM that makes the call.
    step_key m_step;
    std::vector<worker_id> m_workers;
    duration m_cost{};     ///< Processing time of the service.
    duration m_expected{}; ///< Including the calls that wait before it at the VM.
    duration m_timeout{};  ///< Without an answer for longer, the call is given up.
};
/// Another leader has taken over.
struct step_down
{
    std::string m_cause;
};
using action = std::variant<answer_call, send_commit, read_leader_row, send_renewal, send_start,
                            send_stop, request_approval, step_down>;

} // namespace dragonflygap::cell
