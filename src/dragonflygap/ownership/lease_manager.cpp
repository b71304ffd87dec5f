#include "dragonflygap/ownership/lease_manager.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflygap::ownership
{

lease_manager::lease_manager(lease_manager_options options)
    : m_options(std::move(options)), m_prefix(key_prefix(m_options.m_data_centre))
{
}

std::vector<lease_manager_action> lease_manager::handle(const lease_manager_event& event,
                                                        instant now)
{
    actions out;
    if (!m_started_at)
        m_started_at = now;
    std::visit([&](const auto& concrete_event) { on(concrete_event, now, out); }, event);
    announce(now, out);
    return out;
}

session lease_manager::own_session() const
{
    return {m_options.m_vm, m_options.m_incarnation, m_last_session};
}

void lease_manager::on(const lease_manager_tick& /*event*/, instant now, actions& out)
{
    if (m_left)
        return;
    request_promises(now, out);
    if (m_call && now - m_call->m_started_at >= m_options.m_call_timeout)
        abandon_call(now);
    if (m_call || now < m_not_before)
        return;
    // Renew before scanning: if a scan takes as long as the scan interval, scans would follow each
    // other without a break and the lease would expire.
    if (m_rows_current && m_holds_lease && !m_leaving &&
        now - m_last_renewal_at >= m_options.m_renew_interval)
        renew(now, out);
    if (m_call)
        return;
    if (!m_rows_current || now - m_last_scan_at >= m_options.m_scan_interval)
        return scan(now, out);
    if (m_leaving)
        return leave(now, out);
    if (now - m_last_renewal_at >= m_options.m_renew_interval || !m_holds_lease)
        renew(now, out);
    if (m_call || !own_lease_valid(now))
        return;
    if (!fence_expired(now, out))
        move_groups(now, out);
}

void lease_manager::on(const leave_requested& /*event*/, instant now, actions& /*out*/)
{
    m_leaving = true;
    for (const auto& [index, group] : m_groups)
        if (is_mine(group))
            stop_group(index, group, now);
}

void lease_manager::abandon_call(instant now)
{
    m_call.reset();
    m_rows_current = false;
    m_not_before = now + m_options.m_retry_delay;
}

void lease_manager::scan(instant now, actions& out)
{
    m_call = {.m_id = ++m_last_call, .m_kind = call_kind::scan, .m_started_at = now};
    m_last_scan_at = now;
    out.emplace_back(scan_rows{m_last_call, m_prefix});
}

void lease_manager::commit(call_kind kind, row_writes writes, instant now, actions& out)
{
    m_call = {.m_id = ++m_last_call, .m_kind = kind, .m_started_at = now};
    out.emplace_back(commit_rows{m_last_call, std::move(writes)});
}

std::optional<lease_manager::table_call> lease_manager::finish_call(std::uint64_t id)
{
    // The answer to an abandoned call may be outdated.
    if (!m_call || m_call->m_id != id)
        return std::nullopt;
    return std::exchange(m_call, std::nullopt);
}

void lease_manager::on(const rows_scanned& event, instant now, actions& /*out*/)
{
    if (!finish_call(event.m_call))
        return;
    if (!event.m_rows)
        return abandon_call(now);
    m_rows_current = true;
    // After a long gap between scans the table may have been down for all, so owners had no chance
    // to renew. Start their lease periods anew.
    if (now - std::exchange(m_last_successful_scan_at, now) >= m_options.m_max_scan_gap)
        for (auto& [vm, lease] : m_leases)
            lease.m_seen_at = now;
    std::set<vm_id> present;
    for (const auto& row : *event.m_rows)
    {
        apply_row(row, now);
        if (auto vm = vm_of_key(m_prefix, row.m_key))
            present.insert(std::move(*vm));
    }
    std::erase_if(m_leases, [&](const auto& entry) { return !present.contains(entry.first); });
    check_session(now);
}

void lease_manager::on(const commit_finished& event, instant now, actions& out)
{
    const auto call = finish_call(event.m_call);
    if (!call)
        return;
    // After a lost reply or a conflict the rows show what happened: scan before anything else.
    if (!event.m_result)
        return abandon_call(now);
    if (!event.m_result->m_committed)
    {
        m_rows_current = false;
        return;
    }
    if (call->m_kind == call_kind::leave)
    {
        m_left = true;
        m_holds_lease = false;
        out.emplace_back(leave_completed{});
        return;
    }
    for (const auto& row : event.m_result->m_rows)
        apply_row(row, now);
    if (call->m_kind != call_kind::renew)
    {
        // Scan again to drop the leases that the transaction deleted.
        m_rows_current = false;
        return;
    }
    if (!std::exchange(m_holds_lease, true))
        m_acquired_at = now;
    m_renewed_at = call->m_started_at;
    m_lease_end = call->m_started_at + m_options.m_lease_duration;
    m_electors = m_sent_electors;
    m_promise_requests.clear();
}

void lease_manager::apply_row(const platform::row& row, instant now)
{
    if (const auto vm = vm_of_key(m_prefix, row.m_key))
        return apply_lease(*vm, row, now);
    if (const auto group = group_of_key(m_prefix, row.m_key))
        apply_group(*group, row);
}

void lease_manager::apply_lease(const vm_id& vm, const platform::row& row, instant now)
{
    auto& lease = m_leases[vm];
    auto value = decode_lease(vm, row.m_value);
    if (lease.m_version == row.m_version && lease.m_holder == value.m_holder)
        return;
    // The version is newer, so our attempt to delete the old one can no longer succeed.
    m_fencing.erase(value.m_holder);
    lease = {.m_version = row.m_version,
             .m_holder = std::move(value.m_holder),
             .m_electors = std::move(value.m_electors),
             .m_seen_at = now};
}

void lease_manager::apply_group(group_index group, const platform::row& row)
{
    m_groups[group] = {.m_version = row.m_version, .m_value = decode_group(row.m_value)};
    const auto stopped = m_stopped.find(group);
    if (stopped != m_stopped.end() && stopped->second.m_version != row.m_version)
        m_stopped.erase(stopped);
}

void lease_manager::check_session(instant now)
{
    const auto own = m_leases.find(m_options.m_vm);
    const bool present = own != m_leases.end() && own->second.m_holder == own_session();
    if (present == m_holds_lease)
        return;
    m_holds_lease = present;
    if (!present)
        return;
    // The reply to the acquisition was lost. The lease end is known only once a renewal with a
    // known send time succeeds.
    m_acquired_at = now;
    m_last_renewal_at = {};
}

bool lease_manager::expired(const lease_row& lease, instant now, duration extra) const
{
    return now - lease.m_seen_at >= m_options.m_lease_duration + m_options.m_clock_margin + extra;
}

bool lease_manager::own_lease_valid(instant now) const
{
    return m_holds_lease && (now < m_lease_end || promised_by_all(now));
}

bool lease_manager::is_mine(const group_row& group) const
{
    return m_holds_lease && group.m_value.m_owner == own_session();
}

bool lease_manager::is_free(const group_row& group) const
{
    // Scans read groups before leases, and sessions are never resumed, so a session without its
    // lease row has ended for good.
    const auto lease = m_leases.find(group.m_value.m_owner.m_vm);
    return lease == m_leases.end() || lease->second.m_holder != group.m_value.m_owner;
}

const session* lease_manager::preferred_owner(std::uint64_t subject, instant now) const
{
    const session* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [vm, lease] : m_leases)
    {
        const bool usable = vm == m_options.m_vm ? !m_leaving && lease.m_holder == own_session()
                                                 : !expired(lease, now);
        const auto value = rendezvous_weight(vm, subject);
        if (!usable || (best != nullptr && value <= highest))
            continue;
        best = &lease.m_holder;
        highest = value;
    }
    return best;
}

platform::row_write lease_manager::reassign(group_index group, const session& to) const
{
    const auto found = m_groups.find(group);
    const auto row = found == m_groups.end() ? group_row{} : found->second;
    return {.m_key = group_key(m_prefix, group),
            .m_expected_version = row.m_version,
            .m_value = encode_group({.m_owner = to, .m_epoch = row.m_value.m_epoch + 1})};
}

void lease_manager::renew(instant now, actions& out)
{
    const auto own = m_leases.find(m_options.m_vm);
    const bool foreign =
        own != m_leases.end() && own->second.m_holder.m_incarnation != m_options.m_incarnation;
    // An earlier process of this VM may still run: wait for its lease to expire, as for any owner.
    if (foreign && !expired(own->second, now))
        return;
    if (!m_holds_lease)
        ++m_last_session;
    m_last_renewal_at = now;
    m_sent_electors.clear();
    for (const auto& [vm, lease] : m_leases)
        if (vm != m_options.m_vm && !expired(lease, now))
            m_sent_electors.insert(vm);
    // If the outcome of a renewal is unknown, the row may hold either the old or the new set.
    m_electors.insert(m_sent_electors.begin(), m_sent_electors.end());
    commit(call_kind::renew,
           {{.m_key = lease_key(m_prefix, m_options.m_vm),
             .m_expected_version = own == m_leases.end() ? 0 : own->second.m_version,
             .m_value = encode_lease({own_session(), m_sent_electors})}},
           now, out);
}

bool lease_manager::fence_expired(instant now, actions& out)
{
    for (const auto& [vm, lease] : m_leases)
    {
        if (vm == m_options.m_vm || !may_fence(lease, now))
            continue;
        // One successor tries first, so that the others don't all run into conflicts.
        const auto* first_successor = preferred_owner(subject_of(vm), now);
        const bool is_first_successor =
            first_successor != nullptr && first_successor->m_vm == m_options.m_vm;
        if (!is_first_successor && !expired(lease, now, m_options.m_standby_fence_delay))
            continue;
        row_writes writes{
            {.m_key = lease_key(m_prefix, vm), .m_expected_version = lease.m_version}};
        for (const auto& [index, group] : m_groups)
            if (group.m_value.m_owner == lease.m_holder)
                writes.push_back(reassign(index, *preferred_owner(index, now)));
        m_fencing[lease.m_holder] = lease.m_version;
        commit(call_kind::move, std::move(writes), now, out);
        return true;
    }
    return false;
}

void lease_manager::stop_group(group_index group, const group_row& row, instant now)
{
    m_stopped.try_emplace(group, stopped_group{.m_version = row.m_version, .m_stopped_at = now});
}

void lease_manager::move_groups(instant now, actions& out)
{
    if (now - m_acquired_at < m_options.m_claim_delay)
        return;
    row_writes writes;
    for (group_index index = 0; index < groups_per_data_centre; ++index)
    {
        const auto group = m_groups[index];
        const auto* next_owner = preferred_owner(index, now);
        if (next_owner == nullptr)
            continue;
        const bool to_self = next_owner->m_vm == m_options.m_vm;
        const auto stopped = m_stopped.find(index);
        if (is_mine(group) && !to_self && stopped == m_stopped.end())
            stop_group(index, group, now);
        else if (is_mine(group) && stopped != m_stopped.end())
        {
            // Also if this VM is preferred again: an earlier handover may still be in flight.
            if (now - stopped->second.m_stopped_at >= m_options.m_release_delay)
                writes.push_back(reassign(index, *next_owner));
        }
        else if (to_self && is_free(group))
            writes.push_back(reassign(index, *next_owner));
    }
    if (!writes.empty())
        commit(call_kind::move, std::move(writes), now, out);
}

void lease_manager::leave(instant now, actions& out)
{
    if (!m_holds_lease)
    {
        m_left = true;
        out.emplace_back(leave_completed{});
        return;
    }
    row_writes writes{{.m_key = lease_key(m_prefix, m_options.m_vm),
                       .m_expected_version = m_leases[m_options.m_vm].m_version}};
    for (const auto& [index, group] : m_groups)
    {
        if (!is_mine(group))
            continue;
        stop_group(index, group, now);
        if (now - m_stopped[index].m_stopped_at < m_options.m_release_delay)
            return;
        // Without a preferred owner, deleting the lease row makes the group free.
        if (const auto* next_owner = preferred_owner(index, now))
            writes.push_back(reassign(index, *next_owner));
    }
    commit(call_kind::leave, std::move(writes), now, out);
}

void lease_manager::announce(instant now, actions& out)
{
    std::map<group_index, std::uint64_t> owned;
    if (own_lease_valid(now) && !m_leaving)
        for (const auto& [index, group] : m_groups)
            if (is_mine(group) && !m_stopped.contains(index))
                owned[index] = group.m_value.m_epoch;
    if (owned == m_announced)
        return;
    m_announced = owned;
    out.emplace_back(groups_changed{std::move(owned)});
}

} // namespace dragonflygap::ownership
