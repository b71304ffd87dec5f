#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"

/// The rows by which the entry VMs of a data centre agree on owners.
namespace dragonflygap::ownership
{

using group_index = std::uint32_t;

/// Groups of workers in each data centre.
inline constexpr group_index groups_per_data_centre = 32;

/// The group that a worker belongs to; the same on every entry VM.
group_index group_of(const worker_id& worker);

/// One holding of a lease row. Once its row was deleted or replaced, a session never comes back.
struct session
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0; ///< Of the process.
    std::uint64_t m_count = 0;       ///< Grows with every lease that the process acquires.

    auto operator<=>(const session&) const = default;
};

/// Value of a group's row.
struct group_owner
{
    session m_owner;
    std::uint64_t m_epoch = 0;
};

/// Key prefix of all ownership rows of a data centre.
std::string key_prefix(const data_centre_id& data_centre);

std::string lease_key(std::string_view prefix, const vm_id& vm);
std::string group_key(std::string_view prefix, group_index group);

/// The VM or the group that a key below the prefix names; nothing if it names none.
std::optional<vm_id> vm_of_key(std::string_view prefix, std::string_view key);
std::optional<group_index> group_of_key(std::string_view prefix, std::string_view key);

/// Value of a lease row.
struct lease_value
{
    session m_holder;
    /// Who may fence the holder once its lease has run out, unless they promised not to.
    std::set<vm_id> m_electors;
};

std::string encode_lease(const lease_value& value);
std::string encode_group(const group_owner& owner);

/// Unreadable values give a session that no process has: its row counts as foreign.
lease_value decode_lease(const vm_id& vm, std::string_view value);
group_owner decode_group(std::string_view value);

/// Rendezvous weight of a VM for a subject: the live VM with the highest one is preferred.
std::uint64_t weight(const vm_id& vm, std::uint64_t subject);
std::uint64_t subject_of(const vm_id& vm);

} // namespace dragonflygap::ownership
