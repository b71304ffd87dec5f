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

/// Workers that have one owner at a time. Shares of quotas belong to groups, so they follow them.
struct worker_group
{
    data_centre_id m_data_centre;
    ownership::group_index m_group = 0;

    auto operator<=>(const worker_group&) const = default;
};

using group_amounts = std::map<worker_group, resources>;

/// Half of a quota, split by the groups' capacities and rounded down: a group may always use its
/// part of it, also while it is cut off from the table.
group_amounts split_floor(const resources& quota, const group_amounts& capacities);

/// The other half: groups borrow from it through the table.
resources pool_of(const resources& quota);

/// What groups have borrowed of one team's pool: the value of a row of the table.
std::string encode_borrowed(const group_amounts& borrowed);

/// Unreadable values give nothing: then nothing may be lent or given back.
std::optional<group_amounts> decode_borrowed(std::string_view value);

/// One owner's view of one team's quota.
struct quota_view
{
    resources m_quota;
    group_amounts m_capacities; ///< Of all groups of the cell.
    std::set<worker_group> m_own;
    group_amounts m_borrowed; ///< As the table was last known to be.
};

/// What the team may hold on the workers of this owner.
resources limit_of(const quota_view& view);

/// What the row should say so that the owner can hold this much, or so that it gives back what it
/// doesn't need. Nothing if the row can stay, or if the pool lacks what is wanted.
std::optional<group_amounts> borrow(const quota_view& view, const resources& wanted);

} // namespace dragonflygap::placement
