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

/// Who may dispatch to and place on which workers, agreed through the platform's table.
///
/// Each entry VM renews one lease row. The workers of a data centre fall into a fixed number of
/// groups, each a row with an owner and an epoch, written only when the owner changes. A takeover
/// deletes the old owner's lease row and moves its groups in one transaction.
///
/// While the table can't be reached an owner goes on for as long as every VM that could fence it,
/// its electors as its lease row names them, promises anew not to.
namespace dragonflygap::ownership
{

struct lease_manager_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    duration m_lease = 5s;
    duration m_renew_every = 1500ms;
    duration m_scan_every = 1s;
    duration m_clock_margin = 1200ms; ///< How much longer than the lease a successor waits.
    duration m_call_timeout = 3s;     ///< After it a call's outcome counts as unknown.
    duration m_settle = 1s;           ///< From the own lease to the first claim of free groups.
    duration m_release_delay = 500ms; ///< From the last use of a group to its hand-over.
    duration m_second_fencer = 1s;    ///< How much longer all but the first successor wait.
    duration m_retry_after = 500ms;   ///< Pause after a call without a clear outcome.
    duration m_scan_gap = 3s;         ///< Without a scan for longer, silence proves nothing.
    duration m_promise = 5s;          ///< From the asking; the asker counts from its sending.
    duration m_first_promise = 20s;   ///< From the start: an earlier process may have fenced.
    duration m_ask_after = 2500ms;    ///< Since the last renewal, to ask for promises.
    duration m_ask_every = 1s;
    duration m_extension_limit = 600s; ///< Longest time without a renewal, whoever promises.
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
/// This entry VM leaves: hand everything to the others.
struct leave_requested
{
};
struct lease_manager_tick
{
};
/// A peer that can't renew asks not to be fenced for the time of a promise.
struct promise_wanted
{
    session m_holder;
    std::uint64_t m_sequence = 0;
};
/// A peer's answer to ask_promise.
struct promise_given
{
    vm_id m_from;
    session m_holder; ///< As it was asked for.
    std::uint64_t m_sequence = 0;
};
using lease_manager_event = std::variant<rows_scanned, commit_finished, leave_requested,
                                         lease_manager_tick, promise_wanted, promise_given>;

/// Read all rows that start with the prefix, in order of their keys, then report rows_scanned.
struct scan_rows
{
    std::uint64_t m_call = 0;
    std::string m_prefix;
};
/// Commit the writes, then report commit_finished. Only one call is under way at a time.
struct commit_rows
{
    std::uint64_t m_call = 0;
    std::vector<platform::row_write> m_writes;
};
/// The groups owned from now on, each with its epoch; all others are lost at once.
struct groups_changed
{
    std::map<group_index, std::uint64_t> m_epochs;
};
/// Nothing is held any more and nothing will be.
struct leave_completed
{
};
/// Send promise_wanted to a peer, then report promise_given.
struct ask_promise
{
    vm_id m_to;
    session m_holder;
    std::uint64_t m_sequence = 0;
};
/// Send promise_given to the peer that asked.
struct give_promise
{
    session m_holder;
    std::uint64_t m_sequence = 0;
};
using lease_manager_action = std::variant<scan_rows, commit_rows, groups_changed, leave_completed,
                                          ask_promise, give_promise>;

/// Keeps this entry VM's lease and its share of the groups of its data centre. Pure.
class lease_manager
{
public:
    explicit lease_manager(lease_manager_options options);

    std::vector<lease_manager_action> handle(const lease_manager_event& event, instant now);

    /// Groups owned now, with their epochs; empty once the lease has run out.
    const std::map<group_index, std::uint64_t>& owned() const { return m_announced; }

private:
    using actions = std::vector<lease_manager_action>;
    using row_writes = std::vector<platform::row_write>;

    struct lease_row
    {
        std::uint64_t m_version = 0;
        session m_holder;
        std::set<vm_id> m_electors;
        instant m_seen{}; ///< When this version was first read here.
    };

    struct group_row
    {
        std::uint64_t m_version = 0;
        group_owner m_value;
    };

    /// A group no longer used here, to be handed over. Once a hand-over may have been sent, the
    /// group is not used again before its row has another version.
    struct stopped_group
    {
        std::uint64_t m_version = 0;
        instant m_since{};
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
        instant m_started{};
    };

    void on(const rows_scanned& event, instant now, actions& out);
    void on(const commit_finished& event, instant now, actions& out);
    void on(const leave_requested& event, instant now, actions& out);
    void on(const lease_manager_tick& event, instant now, actions& out);
    void on(const promise_wanted& event, instant now, actions& out);
    void on(const promise_given& event, instant now, actions& out);

    void ask_promises(instant now, actions& out);
    bool promised_by_all(instant now) const;
    bool may_fence(const lease_row& lease, instant now) const;
    std::optional<table_call> finish_call(std::uint64_t id);
    void give_up_call(instant now);
    void scan(instant now, actions& out);
    void commit(call_kind kind, row_writes writes, instant now, actions& out);
    void read(const platform::row& row, instant now);
    void read_lease(const vm_id& vm, const platform::row& row, instant now);
    void read_group(group_index group, const platform::row& row);
    void check_session(instant now);

    void renew(instant now, actions& out);
    bool fence_expired(instant now, actions& out);
    void move_groups(instant now, actions& out);
    void leave(instant now, actions& out);
    void stop_group(group_index group, const group_row& row, instant now);

    platform::row_write move(group_index group, const session& to) const;
    bool expired(const lease_row& lease, instant now, duration extra = {}) const;
    bool own_lease_holds(instant now) const;
    bool is_mine(const group_row& group) const;
    bool is_free(const group_row& group) const;
    const session* preferred(std::uint64_t subject, instant now) const;
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
    std::uint64_t m_session = 0;
    bool m_scanned = false;
    bool m_leaving = false;
    bool m_left = false;
    bool m_holds_lease = false;
    instant m_lease_end{};
    instant m_acquired{};
    instant m_last_scan{};
    instant m_last_good_scan{};
    instant m_last_renewal{};
    std::set<vm_id> m_electors; ///< All that our lease row may name.
    std::set<vm_id> m_sent_electors;
    std::map<vm_id, instant> m_promises;        ///< Made to us: when they end.
    std::map<session, instant> m_promised;      ///< Made by us: when they end.
    std::map<session, std::uint64_t> m_fencing; ///< Versions of lease rows we tried to delete.
    std::map<std::uint64_t, instant> m_asked;   ///< When each sequence was sent.
    std::uint64_t m_last_asked = 0;
    instant m_last_asking{};
    std::optional<instant> m_started;
    instant m_renewed{};    ///< When the last successful renewal was sent.
    instant m_not_before{}; ///< No call earlier than this.
};

} // namespace dragonflygap::ownership
