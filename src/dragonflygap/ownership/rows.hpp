#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"

/// Table rows through which the entry VMs of a data centre agree on leases and group owners.
namespace dragonflygap::ownership
{

using group_index = std::uint32_t;

/// Number of worker groups in each data centre.
inline constexpr group_index groups_per_data_centre = 32;

/// Returns the group that a worker belongs to; every entry VM computes the same one.
group_index group_of(const worker_id& worker);

/// Identifies one uninterrupted possession of a lease row. A session whose row was deleted or
/// replaced is never resumed.
struct session
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0; ///< Incarnation of the process.
    std::uint64_t m_count = 0;       ///< Incremented for each lease that the process acquires.

    auto operator<=>(const session&) const = default;
};

/// Value of a group row.
struct group_owner
{
    session m_owner;
    std::uint64_t m_epoch = 0;
};

/// Key prefix of all ownership rows of a data centre.
std::string key_prefix(const data_centre_id& data_centre);

std::string lease_key(std::string_view prefix, const vm_id& vm);
std::string group_key(std::string_view prefix, group_index group);

/// Return the VM or the group that a key names; nothing if the key is of another kind.
std::optional<vm_id> vm_of_key(std::string_view prefix, std::string_view key);
std::optional<group_index> group_of_key(std::string_view prefix, std::string_view key);

/// Value of a lease row.
struct lease_value
{
    session m_holder;
    /// VMs that may fence the holder once its lease has expired, unless they promised not to.
    std::set<vm_id> m_electors;
};

std::string encode_lease(const lease_value& value);
std::string encode_group(const group_owner& owner);

/// An unreadable value decodes to a session that no process has, so the row counts as foreign.
lease_value decode_lease(const vm_id& vm, std::string_view value);
group_owner decode_group(std::string_view value);

/// Rendezvous hashing: the live VM with the highest weight for a subject is preferred.
std::uint64_t rendezvous_weight(const vm_id& vm, std::uint64_t subject);

/// Returns the subject whose preferred VM is the first to fence this one.
std::uint64_t subject_of(const vm_id& vm);

} // namespace dragonflygap::ownership
