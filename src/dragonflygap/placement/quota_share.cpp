#include "dragonflygap/placement/quota_share.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"

namespace dragonflygap::placement
{

namespace
{

constexpr std::int64_t resources::*dimensions[] = {
    &resources::m_millicores, &resources::m_memory_mb, &resources::m_accelerators};

resources sum_of(const group_amounts& amounts)
{
    resources sum;
    for (const auto& [group, amount] : amounts)
        sum += amount;
    return sum;
}

resources sum_of_own(const quota_view& view, const group_amounts& amounts)
{
    resources sum;
    for (const auto& [group, amount] : amounts)
        if (view.m_own.contains(group))
            sum += amount;
    return sum;
}

std::int64_t guaranteed_amount(std::int64_t quota, std::int64_t capacity, std::int64_t total)
{
    if (total <= 0)
        return 0;
    const std::int64_t half = quota / 2;
    const auto share = static_cast<double>(capacity) / static_cast<double>(total);
    // Reduced by 0.1 %, so that rounding errors can't add up to more than the half.
    return static_cast<std::int64_t>(static_cast<double>(half) * share * 0.999);
}

} // namespace

group_amounts split_guaranteed(const resources& quota, const group_amounts& capacities)
{
    const auto total = sum_of(capacities);
    group_amounts guaranteed;
    for (const auto& [group, capacity] : capacities)
        for (const auto amount : dimensions)
            guaranteed[group].*amount =
                guaranteed_amount(quota.*amount, capacity.*amount, total.*amount);
    return guaranteed;
}

resources shared_pool(const resources& quota)
{
    resources pool;
    for (const auto amount : dimensions)
        pool.*amount = quota.*amount - quota.*amount / 2;
    return pool;
}

std::string encode_borrowed(const group_amounts& borrowed)
{
    auto json = nlohmann::json::array();
    for (const auto& [group, amount] : borrowed)
        if (amount != resources{})
            json.push_back({{"data_centre", group.m_data_centre.m_value},
                            {"group", group.m_group},
                            {"amount", amount}});
    return json.dump();
}

std::optional<group_amounts> decode_borrowed(std::string_view value)
{
    try
    {
        group_amounts borrowed;
        for (const auto& item : nlohmann::json::parse(value))
            borrowed[{data_centre_id(item.at("data_centre").get<std::string>()),
                      item.at("group").get<ownership::group_index>()}] =
                item.at("amount").get<resources>();
        return borrowed;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

resources limit_of(const quota_view& view)
{
    return sum_of_own(view, split_guaranteed(view.m_quota, view.m_capacities)) +
           sum_of_own(view, view.m_borrowed);
}

std::optional<group_amounts> borrow(const quota_view& view, const resources& wanted)
{
    if (view.m_own.empty())
        return std::nullopt;
    const auto limit = limit_of(view);
    const auto available = shared_pool(view.m_quota) - sum_of(view.m_borrowed);
    auto next = view.m_borrowed;
    for (const auto amount : dimensions)
    {
        auto shortfall = wanted.*amount - limit.*amount;
        if (shortfall > available.*amount)
            return std::nullopt;
        if (shortfall > 0)
            next[*view.m_own.begin()].*amount += shortfall;
        for (const auto& group : view.m_own)
        {
            if (shortfall >= 0 || !next.contains(group))
                continue;
            const auto returned = std::min(-shortfall, next[group].*amount);
            next[group].*amount -= returned;
            shortfall += returned;
        }
    }
    std::erase_if(next, [](const auto& entry) { return entry.second == resources{}; });
    if (next == view.m_borrowed)
        return std::nullopt;
    return next;
}

} // namespace dragonflygap::placement
