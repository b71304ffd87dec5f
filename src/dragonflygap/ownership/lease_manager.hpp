#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/ownership/rows.hpp"
#include "dragonflygap/platform/table.hpp"

/// Ownership of workers: which entry VM may dispatch to them and place tasks on them, coordinated
/// through the platform's table.
///
/// Each entry VM renews one lease row. The workers of a data centre are split into a fixed number
/// of groups. Each group has a row with its owner and epoch, written only when the owner changes.
/// A takeover deletes the old owner's lease row and reassigns its groups in one transaction.
///
/// While the table is unreachable, an owner remains valid as long as every VM that could fence it
/// (the electors named in its lease row) keeps renewing a promise not to.
namespace dragonflygap::ownership
{

struct lease_manager_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    duration m_lease_duration = 5s;
    duration m_renew_interval = 1500ms;
    duration m_scan_interval = 1s;
    duration m_clock_margin = 1200ms;     ///< Added to the lease before it counts as expired.
    duration m_call_timeout = 3s;         ///< After this, a call's outcome is unknown.
    duration m_claim_delay = 1s;          ///< From acquiring the lease to claiming free groups.
    duration m_release_delay = 500ms;     ///< From the last use of a group to its handover.
    duration m_standby_fence_delay = 1s;  ///< Extra delay of all but the first successor.
    duration m_retry_delay = 500ms;       ///< After a failed call or one of unknown outcome.
    duration m_max_scan_gap = 3s;         ///< After a longer gap, lease ages are reset.
    duration m_promise_duration = 5s;     ///< From sending the request.
    duration m_promise_start_delay = 20s; ///< An earlier process may still be fencing.
    duration m_promise_request_delay = 2500ms; ///< From the last renewal to the first request.
    duration m_promise_request_interval = 1s;
    duration m_extension_limit = 600s; ///< Max time without a renewal, even with promises.
};

/// Answer to scan_rows.
struct rows_scanned
{
    std::uint64_t m_call = 0;
    outcome<std::vector<platform::row>> m_rows;
};
/// Answer to commit_rows.
struct commit_finished
{
    std::uint64_t m_call = 0;
    outcome<platform::commit_result> m_result;
};
/// This entry VM shuts down: hand all its groups over to the others.
struct leave_requested
{
};
struct lease_manager_tick
{
};
/// A peer that cannot renew its lease requests a promise not to fence it.
struct promise_request
{
    session m_holder;
    std::uint64_t m_sequence = 0;
};
/// A peer's answer to request_promise.
struct promise_grant
{
    vm_id m_from;
    session m_holder; ///< As in the request.
    std::uint64_t m_sequence = 0;
};
using lease_manager_event = std::variant<rows_scanned, commit_finished, leave_requested,
                                         lease_manager_tick, promise_request, promise_grant>;

/// Read all rows whose key starts with the prefix, in key order, then report rows_scanned.
struct scan_rows
{
    std::uint64_t m_call = 0;
    std::string m_prefix;
};
/// Commit the writes, then report commit_finished. At most one call is in flight.
struct commit_rows
{
    std::uint64_t m_call = 0;
    std::vector<platform::row_write> m_writes;
};
/// The groups owned from now on, each with its epoch; all others are lost immediately.
struct groups_changed
{
    std::map<group_index, std::uint64_t> m_epochs;
};
/// All groups are released, and no more will be claimed.
struct leave_completed
{
};
/// Send promise_request to a peer, then report promise_grant.
struct request_promise
{
    vm_id m_to;
    session m_holder;
    std::uint64_t m_sequence = 0;
};
/// Send promise_grant to the holder, which requested it.
struct give_promise
{
    session m_holder;
    std::uint64_t m_sequence = 0;
};
using lease_manager_action = std::variant<scan_rows, commit_rows, groups_changed, leave_completed,
                                          request_promise, give_promise>;

/// Maintains this entry VM's lease and its share of the groups of its data centre. Performs no
/// I/O: consumes events and returns actions.
class lease_manager
{
public:
    explicit lease_manager(lease_manager_options options);

    std::vector<lease_manager_action> handle(const lease_manager_event& event, instant now);

    /// Groups owned now, with their epochs; empty once the lease has expired.
    const std::map<group_index, std::uint64_t>& owned() const { return m_announced; }

private:
    using actions = std::vector<lease_manager_action>;
    using row_writes = std::vector<platform::row_write>;

    struct lease_row
    {
        std::uint64_t m_version = 0;
        session m_holder;
        std::set<vm_id> m_electors;
        instant m_seen_at{}; ///< When this version was first read.
    };

    struct group_row
    {
        std::uint64_t m_version = 0;
        group_owner m_value;
    };

    /// A group that is no longer used and is to be handed over. Once a handover may have been sent,
    /// the group is not used again until its row has a new version.
    struct stopped_group
    {
        std::uint64_t m_version = 0;
        instant m_stopped_at{};
    };

    enum class call_kind
    {
        scan,
        renew,
        move,
        leave,
    };

    struct table_call
    {
        std::uint64_t m_id = 0;
        call_kind m_kind = call_kind::scan;
        instant m_started_at{};
    };

    void on(const rows_scanned& event, instant now, actions& out);
    void on(const commit_finished& event, instant now, actions& out);
    void on(const leave_requested& event, instant now, actions& out);
    void on(const lease_manager_tick& event, instant now, actions& out);
    void on(const promise_request& event, instant now, actions& out);
    void on(const promise_grant& event, instant now, actions& out);

    void request_promises(instant now, actions& out);
    bool promised_by_all(instant now) const;
    bool may_fence(const lease_row& lease, instant now) const;
    std::optional<table_call> finish_call(std::uint64_t id);
    void abandon_call(instant now);
    void scan(instant now, actions& out);
    void commit(call_kind kind, row_writes writes, instant now, actions& out);
    void apply_row(const platform::row& row, instant now);
    void apply_lease(const vm_id& vm, const platform::row& row, instant now);
    void apply_group(group_index group, const platform::row& row);
    void check_session(instant now);

    void renew(instant now, actions& out);
    bool fence_expired(instant now, actions& out);
    void move_groups(instant now, actions& out);
    void leave(instant now, actions& out);
    void stop_group(group_index group, const group_row& row, instant now);

    platform::row_write reassign(group_index group, const session& to) const;
    bool expired(const lease_row& lease, instant now, duration extra = {}) const;
    bool own_lease_valid(instant now) const;
    bool is_mine(const group_row& group) const;
    bool is_free(const group_row& group) const;
    const session* preferred_owner(std::uint64_t subject, instant now) const;
    void announce(instant now, actions& out);
    session own_session() const;

    lease_manager_options m_options;
    std::string m_prefix;
    std::map<vm_id, lease_row> m_leases;
    std::map<group_index, group_row> m_groups;
    std::map<group_index, stopped_group> m_stopped;
    std::map<group_index, std::uint64_t> m_announced;
    std::optional<table_call> m_call;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_last_session = 0;
    bool m_rows_current = false;
    bool m_leaving = false;
    bool m_left = false;
    bool m_holds_lease = false;
    instant m_lease_end{};
    instant m_acquired_at{};
    instant m_last_scan_at{};
    instant m_last_successful_scan_at{};
    instant m_last_renewal_at{};     ///< Last attempt, successful or not.
    std::set<vm_id> m_electors;      ///< All that our lease row may list, as a renewal may be lost.
    std::set<vm_id> m_sent_electors; ///< Those in the latest renewal.
    std::map<vm_id, instant> m_promises;         ///< Received, by peer: when each expires.
    std::map<session, instant> m_promises_given; ///< By holder: when each expires.
    std::map<session, std::uint64_t>
        m_fencing; ///< By holder: lease row version we tried to delete.
    std::map<std::uint64_t, instant> m_promise_requests; ///< By sequence: when each was sent.
    std::uint64_t m_last_promise_sequence = 0;           ///< Of the last request.
    instant m_last_promise_request_at{};
    std::optional<instant> m_started_at;
    instant m_renewed_at{}; ///< When the last successful renewal was sent.
    instant m_not_before{}; ///< Earliest time of the next call.
};

} // namespace dragonflygap::ownership
