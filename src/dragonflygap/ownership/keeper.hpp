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
#include "dragonflygap/platform/table.hpp"

/// Who may dispatch to and place on which workers, agreed through the platform's table.
///
/// Each entry VM renews one lease row. The workers of a data centre fall into a fixed number of
/// groups, each a row with an owner and an epoch, written only when the owner changes. A takeover
/// deletes the old owner's lease row and moves its groups in one transaction.
namespace dragonflygap::ownership
{

using group_index = std::uint32_t;

/// Groups of workers in each data centre.
inline constexpr group_index groups_per_data_centre = 32;

/// The group that a worker belongs to; the same on every entry VM.
group_index group_of(const worker_id& worker);

struct keeper_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    duration m_lease = 6s;
    duration m_renew_every = 2s;
    duration m_scan_every = 1s;
    duration m_clock_margin = 1s; ///< How much longer than the lease a successor waits.
};

struct rows_scanned
{
    outcome<std::vector<platform::row>> m_rows;
};
struct commit_finished
{
    outcome<platform::commit_result> m_result;
};
/// This entry VM leaves: hand everything to the others.
struct keeper_leaving
{
};
struct keeper_tick
{
};
using keeper_event = std::variant<rows_scanned, commit_finished, keeper_leaving, keeper_tick>;

/// Read all rows that start with the prefix, then report rows_scanned.
struct scan_rows
{
    std::string m_prefix;
};
/// Commit the writes, then report commit_finished. Only one call is under way at a time.
struct commit_rows
{
    std::vector<platform::row_write> m_writes;
};
/// The groups owned from now on, each with its epoch; all others are lost at once.
struct groups_changed
{
    std::map<group_index, std::uint64_t> m_epochs;
};
using keeper_action = std::variant<scan_rows, commit_rows, groups_changed>;

/// Keeps this entry VM's lease and its share of the groups of its data centre. Pure.
class keeper
{
public:
    explicit keeper(keeper_options options);

    std::vector<keeper_action> handle(const keeper_event& event, instant now);

    /// Groups owned now, with their epochs; empty once the lease has run out.
    const std::map<group_index, std::uint64_t>& owned() const { return m_announced; }

private:
    using actions = std::vector<keeper_action>;

    struct lease_row
    {
        std::uint64_t m_version = 0;
        std::uint64_t m_incarnation = 0;
        bool m_leaving = false;
        instant m_seen{}; ///< When this version was first read here.
    };

    struct group_row
    {
        std::uint64_t m_version = 0;
        vm_id m_owner;
        std::uint64_t m_epoch = 0;
    };

    void on(const rows_scanned& event, instant now, actions& out);
    void on(const commit_finished& event, instant now, actions& out);
    void on(const keeper_leaving& event, instant now, actions& out);
    void on(const keeper_tick& event, instant now, actions& out);

    void read_lease(const platform::row& row, instant now);
    void read_group(const platform::row& row);
    void renew(instant now, actions& out);
    bool take_groups(instant now, actions& out);
    bool expired(const lease_row& lease, instant now) const;
    bool own_lease_holds(instant now) const;
    vm_id preferred_owner(group_index group, instant now) const;
    void announce(instant now, actions& out);
    std::string lease_key(const vm_id& vm) const;
    std::string group_key(group_index group) const;
    std::string lease_value() const;

    keeper_options m_options;
    std::string m_prefix;
    std::map<vm_id, lease_row> m_leases;
    std::map<group_index, group_row> m_groups;
    std::map<group_index, std::uint64_t> m_announced;
    std::optional<instant> m_call_started;
    bool m_call_renews = false;
    bool m_scanned = false;
    bool m_leaving = false;
    bool m_holds_lease = false;
    instant m_lease_end{};
    instant m_last_scan{};
    instant m_last_renewal{};
};

} // namespace dragonflygap::ownership
