#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflygap/cell/job_request.hpp"
#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/queue_rules.hpp"

/// Messages between entry VMs.
namespace dragonflygap::cell
{

/// From the leader to every member, several times a second.
struct leader_heartbeat
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_commit = 0;      ///< Number of the leader's last transaction.
    std::int64_t m_store_age_ms = 0; ///< Time since the store last answered the leader.
    std::uint64_t m_config_version = 0;
    std::string m_address;  ///< The leader's address, for answers.
    bool m_resigns = false; ///< The receiver should take over immediately.
    bool m_cut_off = false; ///< Neither the store nor half of the members answer the leader.
    /// False: the leader receives nothing from the receiver, whose pipe may be dead.
    bool m_hears_receiver = true;

    MSGPACK_DEFINE(m_epoch, m_commit, m_store_age_ms, m_config_version, m_address, m_resigns,
                   m_cut_off, m_hears_receiver)
};

/// A member's answer to a heartbeat.
struct member_heartbeat
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_config_version = 0;
    bool m_stopping = false;
    std::int64_t m_store_age_ms = -1; ///< Time since the store last answered it; -1: unknown.

    MSGPACK_DEFINE(m_incarnation, m_config_version, m_stopping, m_store_age_ms)
};

/// A configuration newer than the receiver's.
struct config_update
{
    cell_config m_config;
    /// False: from an earlier build, which leaves out the customers of a configuration.
    bool m_has_customers = false;

    MSGPACK_DEFINE(m_config, m_has_customers)
};

enum class call_kind
{
    submit,
    cancel,
    state,
    waiting,
};

/// A caller's request, forwarded to the leader.
struct caller_call
{
    std::uint64_t m_call = 0;
    int m_kind = 0; ///< A call_kind.
    job_id m_job;
    queue_rules m_queue;
    job_request m_request;
    customer_id m_customer; ///< Empty: the call needs no key and has none.

    MSGPACK_DEFINE(m_call, m_kind, m_job, m_queue, m_request, m_customer)
};

/// The leader's answer to a caller_call.
struct caller_answer
{
    std::uint64_t m_call = 0;
    int m_status = 0;          ///< A call_status.
    std::int64_t m_number = 0; ///< Number of waiting jobs, or milliseconds until a retry.
    std::string m_state;

    MSGPACK_DEFINE(m_call, m_status, m_number, m_state)
};

/// From the leader: requests an approval through a member.
struct approval_call
{
    std::uint64_t m_epoch = 0;
    step_key m_step;
    std::vector<worker_id> m_workers;
    std::int64_t m_timeout_ms = 0; ///< The member drops the call if this passes before it is sent.
    std::int64_t m_cost_ms = 0;    ///< Processing time of the service.
    std::uint64_t m_call = 0;      ///< Number of the leader's call; returned in the answer.

    MSGPACK_DEFINE(m_epoch, m_step, m_workers, m_timeout_ms, m_cost_ms, m_call)
};

struct approval_answer
{
    std::uint64_t m_epoch = 0;
    step_key m_step;
    std::vector<worker_id> m_workers;
    bool m_succeeded = false; ///< False: the call failed.
    approval m_approval;
    /// Time that the service needs for the member's remaining calls.
    std::int64_t m_backlog_time_ms = 0;
    std::uint64_t m_call = 0;
    std::int64_t m_response_time_ms = 0; ///< From the call's arrival to the service's answer.
    /// From the call's arrival until it was sent to the service; -1: it wasn't sent.
    std::int64_t m_waited_ms = -1;

    MSGPACK_DEFINE(m_epoch, m_step, m_workers, m_succeeded, m_approval, m_backlog_time_ms, m_call,
                   m_response_time_ms, m_waited_ms)
};

/// From a VM that the store doesn't answer: asks which configuration the receiver has.
struct config_inquiry
{
    std::uint64_t m_number = 0;
    std::uint64_t m_config_version = 0; ///< That the sender has; 0: none.
    std::string m_address;              ///< The sender's, for the answer.

    MSGPACK_DEFINE(m_number, m_config_version, m_address)
};

/// Answers a config_inquiry, after a config_update if the receiver's configuration is newer.
struct config_status
{
    std::uint64_t m_number = 0;         ///< As in the inquiry.
    std::uint64_t m_config_version = 0; ///< In force at the sender; 0: none.
    /// Since an instant at which the store had acknowledged no newer version; -1: unknown.
    std::int64_t m_confirmed_age_ms = -1;

    MSGPACK_DEFINE(m_number, m_config_version, m_confirmed_age_ms)
};

// Messages are told apart by their position, so new ones go to the end.
using peer_message =
    std::variant<leader_heartbeat, member_heartbeat, config_update, caller_call, caller_answer,
                 approval_call, approval_answer, config_inquiry, config_status>;

struct peer_envelope
{
    vm_id m_from;
    peer_message m_message;
};

std::string encode(const vm_id& from, const peer_message& message);

/// Nothing if the bytes are no valid message of this version.
std::optional<peer_envelope> decode_peer(std::string_view bytes);

} // namespace dragonflygap::cell
