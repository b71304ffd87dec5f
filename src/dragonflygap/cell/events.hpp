#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"

/// What happens to the leader, and what it wants done.
namespace dragonflygap::cell
{

struct job_submitted
{
    std::uint64_t m_call = 0;
    job_id m_job;
    queue_rules m_queue;
    job_request m_request;
};
struct job_cancelled
{
    std::uint64_t m_call = 0;
    job_id m_job;
};
struct workers_listed
{
    std::vector<worker_info> m_workers;
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
};
struct stop_answered
{
    worker_id m_worker;
    task_key m_task;
    std::uint64_t m_run = 0;
    outcome<start_result> m_result;
};
struct approval_answered
{
    std::uint64_t m_call = 0; ///< As in request_approval.
    step_key m_step;
    vm_id m_asked_by;
    std::vector<worker_id> m_workers; ///< That were named.
    outcome<approval> m_result;
    duration
        m_response_time{}; ///< From the call's arrival at the VM until the service's answer there.
    std::optional<duration> m_backlog_time; ///< As the VM told; nothing if it was silent.
};
/// VMs that answer heartbeats: approvals may be asked through them.
struct members_changed
{
    std::vector<vm_id> m_members;
};
struct tick
{
};
using event = std::variant<job_submitted, job_cancelled, workers_listed, commit_answered,
                           leader_row_read, renewal_answered, start_answered, stop_answered,
                           approval_answered, members_changed, tick>;

enum class call_status
{
    accepted, ///< Stored, or cancelled for good.
    rejected, ///< Not accepted and never runs; come back later.
    unknown,  ///< May have been stored.
    not_here, ///< The leader doesn't know the job; it may have ended long ago.
};

/// Answers a submission or a cancellation.
struct answer_call
{
    std::uint64_t m_call = 0;
    call_status m_status = call_status::accepted;
    std::int64_t m_retry_after_ms = 0;
};
struct send_commit
{
    std::uint64_t m_number = 0; ///< Handed back in the answer; the same for each try.
    transaction m_change;
};
/// Asks for the leader's row, where an answer to a transaction is overdue.
struct read_leader_row
{
    std::uint64_t m_number = 0; ///< Of the transaction; handed back in the answer.
};
struct send_renewal
{
    worker_address m_worker;
    instant m_sent{}; ///< Handed back in the answer.
    renewal m_renewal;
};
struct send_start
{
    worker_address m_worker;
    start_order m_order;
};
struct send_stop
{
    worker_address m_worker;
    task_key m_task;
    std::uint64_t m_run = 0;
};
struct request_approval
{
    std::uint64_t m_call = 0; ///< Handed back in the answer.
    vm_id m_via;              ///< The VM that is to ask.
    step_key m_step;
    std::vector<worker_id> m_workers;
    duration m_cost{};     ///< Of the service.
    duration m_expected{}; ///< With what the VM asks before.
};
/// Another leader has taken over.
struct step_down
{
    std::string m_cause;
};
using action = std::variant<answer_call, send_commit, read_leader_row, send_renewal, send_start,
                            send_stop, request_approval, step_down>;

} // namespace dragonflygap::cell
