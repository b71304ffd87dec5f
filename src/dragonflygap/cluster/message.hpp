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

/// What entry VMs say to each other. The codec is in codec.hpp.
namespace dragonflygap::cluster
{

/// One class's part of a load digest.
struct class_load
{
    class_id m_class;
    std::uint32_t m_queued = 0;
    std::uint32_t m_running = 0;
};

/// What a peer needs to know to judge whether this entry VM has room.
struct load_digest
{
    std::uint32_t m_slots = 0;
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_oldest_wait_ms = 0;
    std::vector<class_load> m_classes;
};

/// A member that the receiver may not know.
struct introduction
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::string m_address; ///< IP number and port for peers.
};

/// Sent to every peer at a fixed interval; the sender's newest state.
struct heartbeat
{
    std::uint64_t m_sequence = 0;
    data_centre_id m_data_centre;
    bool m_leaving = false;
    std::uint64_t m_config_version = 0;
    std::uint32_t m_groups_owned = 0;
    load_digest m_load;
    bool m_hears_you = false; ///< The sender hears the receiver: tells one-way links.
    std::string m_address;    ///< Where to dial the sender; empty once the receiver knows.
    std::optional<introduction> m_introduced;
};

/// A request handed to a peer that has room for it.
struct forwarded_request
{
    std::uint64_t m_call = 0; ///< Chosen by the sender, unique within its incarnation.
    request_id m_request;
    caller_id m_caller;
    class_id m_class;
    idempotency_key m_key;
    bool m_idempotent = true;
    std::uint32_t m_hops = 0;
    std::int64_t m_deadline_ms = 0; ///< Time left when it was sent.
    std::string m_body;
};

/// The answer to a forwarded request: either a target's answer or a failure.
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

/// The sender no longer waits for a forwarded request.
struct forwarded_cancel
{
    std::uint64_t m_call = 0;
};

/// A configuration document that the platform's table has accepted.
struct config_update
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

/// Asks for the configuration document in force at the receiver, answered by config_update.
struct config_wanted
{
    std::uint64_t m_known_version = 0; ///< Version in force at the sender.
};

/// The sender can't renew its ownership lease: asks the receiver not to fence it for a while.
struct promise_wanted
{
    std::uint64_t m_incarnation = 0; ///< Of the lease's holder, the sender.
    std::uint64_t m_count = 0;
    std::uint64_t m_sequence = 0;
};

/// Grants promise_wanted, whose fields it repeats.
struct promise_given
{
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_count = 0;
    std::uint64_t m_sequence = 0;
};

/// Asks whether the receiver's workers have room for tasks of a job. Nothing is promised.
struct room_wanted
{
    std::string m_part; ///< Handed back in the answer.
    std::string m_job;  ///< The job's id.
    std::string m_spec; ///< The job as an operator writes it.
    std::uint32_t m_count = 0;
};

/// Workers of a group have room for some tasks.
struct group_room
{
    data_centre_id m_data_centre;
    std::uint32_t m_group = 0;
    std::uint32_t m_count = 0;
};

/// Answers room_wanted; sent only if there is room.
struct room_found
{
    std::string m_part;
    std::vector<group_room> m_groups;
};

/// Job rows of these groups were written: their owners read them again.
struct jobs_written
{
    std::vector<group_room> m_groups; ///< The counts mean nothing.
};

using body = std::variant<heartbeat, forwarded_request, forwarded_answer, forwarded_cancel,
                          config_update, config_wanted, room_wanted, room_found, jobs_written,
                          promise_wanted, promise_given>;

/// A message and its sender. The incarnation grows with every start of the sender.
struct message
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    body m_body;
};

} // namespace dragonflygap::cluster
