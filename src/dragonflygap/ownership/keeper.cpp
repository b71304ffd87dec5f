#include "dragonflygap/ownership/keeper.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dragonflygap::ownership
{

namespace
{

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string group_value(const vm_id& owner, std::uint64_t epoch)
{
    return nlohmann::json{{"owner", owner.m_value}, {"epoch", epoch}}.dump();
}

} // namespace

group_index group_of(const worker_id& worker)
{
    return static_cast<group_index>(hash(worker.m_value, 0) % groups_per_data_centre);
}

keeper::keeper(keeper_options options)
    : m_options(std::move(options)), m_prefix("own/" + m_options.m_data_centre.m_value + "/")
{
}

std::vector<keeper_action> keeper::handle(const keeper_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& what) { on(what, now, out); }, event);
    announce(now, out);
    return out;
}

std::string keeper::lease_key(const vm_id& vm) const
{
    return m_prefix + "lease/" + vm.m_value;
}

std::string keeper::group_key(group_index group) const
{
    return m_prefix + "group/" + std::to_string(group);
}

std::string keeper::lease_value() const
{
    return nlohmann::json{{"incarnation", m_options.m_incarnation}, {"leaving", m_leaving}}.dump();
}

void keeper::on(const keeper_tick& /*event*/, instant now, actions& out)
{
    if (m_call_started)
        return;
    if (!m_scanned || now - m_last_scan >= m_options.m_scan_every)
    {
        m_call_started = now;
        m_last_scan = now;
        out.emplace_back(scan_rows{m_prefix});
        return;
    }
    if (now - m_last_renewal >= m_options.m_renew_every)
    {
        renew(now, out);
        if (m_call_started)
            return;
    }
    if (own_lease_holds(now))
        take_groups(now, out);
}

void keeper::on(const keeper_leaving& /*event*/, instant /*now*/, actions& /*out*/)
{
    m_leaving = true;
    m_last_renewal = {};
}

void keeper::on(const rows_scanned& event, instant now, actions& /*out*/)
{
    m_call_started.reset();
    if (!event.m_rows)
        return;
    m_scanned = true;
    std::set<vm_id> present;
    for (const auto& row : *event.m_rows)
    {
        const std::string_view key = std::string_view(row.m_key).substr(m_prefix.size());
        if (key.starts_with("lease/"))
        {
            read_lease(row, now);
            present.insert(vm_id(std::string(key.substr(6))));
        }
        else if (key.starts_with("group/"))
            read_group(row);
    }
    std::erase_if(m_leases, [&](const auto& entry) { return !present.contains(entry.first); });
    const auto own = m_leases.find(m_options.m_vm);
    // Another process fenced this one, or took its name.
    if (own == m_leases.end() || own->second.m_incarnation != m_options.m_incarnation)
        m_holds_lease = false;
}

void keeper::read_lease(const platform::row& row, instant now)
{
    const vm_id vm(row.m_key.substr(m_prefix.size() + 6));
    const auto value = nlohmann::json::parse(row.m_value, nullptr, false);
    auto& lease = m_leases[vm];
    if (lease.m_version == row.m_version)
        return;
    lease = {.m_version = row.m_version,
             .m_incarnation = value.value("incarnation", std::uint64_t{0}),
             .m_leaving = value.value("leaving", false),
             .m_seen = now};
}

void keeper::read_group(const platform::row& row)
{
    const auto value = nlohmann::json::parse(row.m_value, nullptr, false);
    const auto index = static_cast<group_index>(std::stoul(row.m_key.substr(m_prefix.size() + 6)));
    m_groups[index] = {.m_version = row.m_version,
                       .m_owner = vm_id(value.value("owner", "")),
                       .m_epoch = value.value("epoch", std::uint64_t{0})};
}

bool keeper::expired(const lease_row& lease, instant now) const
{
    return now - lease.m_seen >= m_options.m_lease + m_options.m_clock_margin;
}

bool keeper::own_lease_holds(instant now) const
{
    return m_holds_lease && now < m_lease_end;
}

void keeper::renew(instant now, actions& out)
{
    const auto own = m_leases.find(m_options.m_vm);
    const bool foreign =
        own != m_leases.end() && own->second.m_incarnation != m_options.m_incarnation;
    // An earlier process of this name may still run: wait as for any other owner.
    if (foreign && !expired(own->second, now))
        return;
    std::vector<platform::row_write> writes;
    writes.push_back({.m_key = lease_key(m_options.m_vm),
                      .m_expected_version = own == m_leases.end() ? 0 : own->second.m_version,
                      .m_value = lease_value()});
    if (!m_holds_lease)
        // What an earlier process of this name owned gets a new epoch before it is used.
        for (const auto& [index, group] : m_groups)
            if (group.m_owner == m_options.m_vm)
                writes.push_back({.m_key = group_key(index),
                                  .m_expected_version = group.m_version,
                                  .m_value = group_value(m_options.m_vm, group.m_epoch + 1)});
    m_call_started = now;
    m_call_renews = true;
    m_last_renewal = now;
    out.emplace_back(commit_rows{std::move(writes)});
}

vm_id keeper::preferred_owner(group_index group, instant now) const
{
    vm_id best;
    std::uint64_t highest = 0;
    for (const auto& [vm, lease] : m_leases)
    {
        const bool self = vm == m_options.m_vm;
        if (self ? m_leaving : lease.m_leaving || expired(lease, now))
            continue;
        const auto weight = hash(vm.m_value, group + 1);
        if (!best.empty() && weight <= highest)
            continue;
        best = vm;
        highest = weight;
    }
    return best;
}

bool keeper::take_groups(instant now, actions& out)
{
    std::vector<platform::row_write> writes;
    std::set<vm_id> fenced;
    for (group_index index = 0; index < groups_per_data_centre; ++index)
    {
        const auto found = m_groups.find(index);
        const group_row group = found == m_groups.end() ? group_row{} : found->second;
        const vm_id wanted = preferred_owner(index, now);
        if (wanted.empty() || wanted == group.m_owner)
            continue;
        const bool mine = group.m_owner == m_options.m_vm;
        const auto lease = m_leases.find(group.m_owner);
        const bool free = group.m_owner.empty() || lease == m_leases.end();
        const bool fence = !free && !mine && expired(lease->second, now);
        const bool give = mine;
        if (!give && (wanted != m_options.m_vm || !(free || fence)))
            continue;
        if (fence && fenced.insert(group.m_owner).second)
            writes.push_back(
                {.m_key = lease_key(group.m_owner), .m_expected_version = lease->second.m_version});
        writes.push_back({.m_key = group_key(index),
                          .m_expected_version = group.m_version,
                          .m_value = group_value(wanted, group.m_epoch + 1)});
    }
    if (writes.empty())
        return false;
    m_call_started = now;
    m_call_renews = false;
    out.emplace_back(commit_rows{std::move(writes)});
    return true;
}

void keeper::on(const commit_finished& event, instant now, actions& /*out*/)
{
    const auto started = std::exchange(m_call_started, std::nullopt).value_or(now);
    const bool renews = std::exchange(m_call_renews, false);
    if (!event.m_result || !event.m_result->m_committed)
    {
        // Lost reply or conflict: the rows tell which, so read them before anything else.
        m_scanned = false;
        return;
    }
    for (const auto& row : event.m_result->m_rows)
    {
        const std::string_view key = std::string_view(row.m_key).substr(m_prefix.size());
        if (key.starts_with("lease/"))
            read_lease(row, now);
        else
            read_group(row);
    }
    if (!renews)
        return;
    m_holds_lease = true;
    m_lease_end = started + m_options.m_lease;
}

void keeper::announce(instant now, actions& out)
{
    std::map<group_index, std::uint64_t> owned;
    if (own_lease_holds(now))
        for (const auto& [index, group] : m_groups)
            if (group.m_owner == m_options.m_vm)
                owned[index] = group.m_epoch;
    if (owned == m_announced)
        return;
    m_announced = owned;
    out.emplace_back(groups_changed{std::move(owned)});
}

} // namespace dragonflygap::ownership
