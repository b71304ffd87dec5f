#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"

/// Messages between entry VMs. The codec is in codec.hpp.
namespace dragonflygap::cluster
{

/// Load of one request class.
struct class_load
{
    class_id m_class;
    std::uint32_t m_queued = 0;
    std::uint32_t m_running = 0;
};

/// Load of an entry VM, from which peers decide whether to forward requests to it.
struct load_digest
{
    std::uint32_t m_slots = 0;
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_oldest_wait_ms = 0;
    std::vector<class_load> m_classes;
};

/// A member that the receiver may not know yet; spreads membership by gossip.
struct introduction
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::string m_address; ///< Where it listens for peers, as IP:PORT.
};

/// Current state of the sender; sent to every peer at a fixed interval.
struct heartbeat
{
    std::uint64_t m_sequence = 0;
    data_centre_id m_data_centre;
    bool m_leaving = false;
    std::uint64_t m_config_version = 0;
    std::uint32_t m_groups_owned = 0;
    load_digest m_load;
    /// True if the sender receives the receiver's heartbeats; detects one-way links.
    bool m_hears_receiver = false;
    std::string m_address; ///< Where to dial the sender; empty once the receiver knows it.
    std::optional<introduction> m_introduced;
};

/// A request forwarded to a peer with free capacity.
struct forwarded_request
{
    std::uint64_t m_call = 0; ///< Correlation id, unique within an incarnation of the sender.
    request_id m_request;
    caller_id m_caller;
    class_id m_class;
    idempotency_key m_key;
    bool m_idempotent = true;
    std::uint32_t m_hops = 0;
    std::int64_t m_deadline_ms = 0; ///< Time left until the deadline when it was sent.
    std::string m_body;
};

/// Response to a forwarded request: the target's answer or a failure.
struct forwarded_answer
{
    std::uint64_t m_call = 0;
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
    bool m_failed = false;
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::internal;
    std::string m_detail;
};

/// Cancels a forwarded request; the sender no longer waits for the answer.
struct forwarded_cancel
{
    std::uint64_t m_call = 0;
};

/// A configuration document that was committed to the platform's table.
struct config_update
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

/// Requests the receiver's active configuration document; answered by config_update.
struct config_request
{
    std::uint64_t m_known_version = 0; ///< Active version at the sender.
};

/// Requests a promise not to fence the sender, which can't renew its ownership lease.
struct promise_request
{
    std::uint64_t m_incarnation = 0; ///< Of the lease holder, the sender.
    std::uint64_t m_count = 0;       ///< Leases that this incarnation has acquired.
    std::uint64_t m_sequence = 0;
};

/// Grants a promise_request; the fields are copied from it.
struct promise_grant
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_count = 0;
    std::uint64_t m_sequence = 0;
};

/// Asks whether the receiver's workers have capacity for tasks of a job; reserves nothing.
struct capacity_request
{
    std::string m_part; ///< Id of the job part that needs capacity; copied into the reply.
    std::string m_job;  ///< The job's id.
    std::string m_spec; ///< JSON specification of the job.
    std::uint32_t m_count = 0;
};

/// Number of tasks that fit on the workers of a group.
struct group_capacity
{
    data_centre_id m_data_centre;
    std::uint32_t m_group = 0;
    std::uint32_t m_count = 0;
};

/// Reply to capacity_request; sent only if there is capacity.
struct capacity_reply
{
    std::string m_part;
    std::vector<group_capacity> m_groups;
};

/// Job rows of these groups were written; their owners reload them.
struct jobs_updated
{
    std::vector<group_capacity> m_groups; ///< The counts are unused.
};

using body = std::variant<heartbeat, forwarded_request, forwarded_answer, forwarded_cancel,
                          config_update, config_request, capacity_request, capacity_reply,
                          jobs_updated, promise_request, promise_grant>;

/// A message and its sender. Each start of a sender gets a higher incarnation.
struct message
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    body m_body;
};

} // namespace dragonflygap::cluster
