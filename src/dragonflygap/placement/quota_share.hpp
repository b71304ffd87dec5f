#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/ownership/rows.hpp"

namespace dragonflygap::placement
{

/// Workers that have one owner at a time. Quota shares belong to groups and move with them.
struct worker_group
{
    data_centre_id m_data_centre;
    ownership::group_index m_group = 0;

    auto operator<=>(const worker_group&) const = default;
};

using group_amounts = std::map<worker_group, resources>;

/// Splits half of a quota among the groups by their capacities, rounded down. A group may always
/// use its share, even while the table is unreachable.
group_amounts split_guaranteed(const resources& quota, const group_amounts& capacities);

/// Returns the other half, from which groups borrow through the table.
resources shared_pool(const resources& quota);

/// Encodes what groups have borrowed from one team's pool, as the value of a table row.
std::string encode_borrowed(const group_amounts& borrowed);

/// Returns nothing for an unreadable value; then nothing may be borrowed or returned.
std::optional<group_amounts> decode_borrowed(std::string_view value);

/// One owner's view of one team's quota.
struct quota_view
{
    resources m_quota;
    group_amounts m_capacities; ///< Of all groups of the cell.
    std::set<worker_group> m_own;
    group_amounts m_borrowed; ///< As last read from the table.
};

/// Returns the limit for the team on the workers of this owner.
resources limit_of(const quota_view& view);

/// Returns the row value that raises the owner's limit to the wanted amount or gives back what it
/// doesn't need. Nothing if the row needn't change, or if the pool is too small.
std::optional<group_amounts> borrow(const quota_view& view, const resources& wanted);

} // namespace dragonflygap::placement
