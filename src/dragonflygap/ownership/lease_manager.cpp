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
    if (!m_started)
        m_started = now;
    std::visit([&](const auto& what) { on(what, now, out); }, event);
    announce(now, out);
    return out;
}

session lease_manager::own_session() const
{
    return {m_options.m_vm, m_options.m_incarnation, m_session};
}

void lease_manager::on(const lease_manager_tick& /*event*/, instant now, actions& out)
{
    if (m_left)
        return;
    ask_promises(now, out);
    if (m_call && now - m_call->m_started >= m_options.m_call_timeout)
        give_up_call(now);
    if (m_call || now < m_not_before)
        return;
    // A table as slow as the interval of the scans must not keep the lease from its renewal.
    if (m_scanned && m_holds_lease && !m_leaving && now - m_last_renewal >= m_options.m_renew_every)
        renew(now, out);
    if (m_call)
        return;
    if (!m_scanned || now - m_last_scan >= m_options.m_scan_every)
        return scan(now, out);
    if (m_leaving)
        return leave(now, out);
    if (now - m_last_renewal >= m_options.m_renew_every || !m_holds_lease)
        renew(now, out);
    if (m_call || !own_lease_holds(now))
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

void lease_manager::give_up_call(instant now)
{
    m_call.reset();
    m_scanned = false;
    m_not_before = now + m_options.m_retry_after;
}

void lease_manager::scan(instant now, actions& out)
{
    m_call = {.m_id = ++m_last_call, .m_kind = call_kind::scan, .m_started = now};
    m_last_scan = now;
    out.emplace_back(scan_rows{m_last_call, m_prefix});
}

void lease_manager::commit(call_kind kind, row_writes writes, instant now, actions& out)
{
    m_call = {.m_id = ++m_last_call, .m_kind = kind, .m_started = now};
    out.emplace_back(commit_rows{m_last_call, std::move(writes)});
}

std::optional<lease_manager::table_call> lease_manager::finish_call(std::uint64_t id)
{
    // An answer to a call that was given up says nothing about the rows of now.
    if (!m_call || m_call->m_id != id)
        return std::nullopt;
    return std::exchange(m_call, std::nullopt);
}

void lease_manager::on(const rows_scanned& event, instant now, actions& /*out*/)
{
    if (!finish_call(event.m_call))
        return;
    if (!event.m_rows)
        return give_up_call(now);
    m_scanned = true;
    // Owners that couldn't be watched, perhaps because the table was down, had no chance to renew.
    if (now - std::exchange(m_last_good_scan, now) >= m_options.m_scan_gap)
        for (auto& [vm, lease] : m_leases)
            lease.m_seen = now;
    std::set<vm_id> present;
    for (const auto& row : *event.m_rows)
    {
        read(row, now);
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
    // Lost reply or conflict: the rows tell which, so read them before anything else.
    if (!event.m_result)
        return give_up_call(now);
    if (!event.m_result->m_committed)
    {
        m_scanned = false;
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
        read(row, now);
    if (call->m_kind != call_kind::renew)
    {
        // Shows leases that the transaction deleted as gone.
        m_scanned = false;
        return;
    }
    if (!std::exchange(m_holds_lease, true))
        m_acquired = now;
    m_renewed = call->m_started;
    m_lease_end = call->m_started + m_options.m_lease;
    m_electors = m_sent_electors;
    m_asked.clear();
}

void lease_manager::read(const platform::row& row, instant now)
{
    if (const auto vm = vm_of_key(m_prefix, row.m_key))
        return read_lease(*vm, row, now);
    if (const auto group = group_of_key(m_prefix, row.m_key))
        read_group(*group, row);
}

void lease_manager::read_lease(const vm_id& vm, const platform::row& row, instant now)
{
    auto& lease = m_leases[vm];
    auto value = decode_lease(vm, row.m_value);
    if (lease.m_version == row.m_version && lease.m_holder == value.m_holder)
        return;
    // With a newer version no attempt of ours to delete the row can succeed any more.
    m_fencing.erase(value.m_holder);
    lease = {.m_version = row.m_version,
             .m_holder = std::move(value.m_holder),
             .m_electors = std::move(value.m_electors),
             .m_seen = now};
}

void lease_manager::read_group(group_index group, const platform::row& row)
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
    // The reply of the acquisition was lost. Only a renewal with a known start gives a lease end.
    m_acquired = now;
    m_last_renewal = {};
}

bool lease_manager::expired(const lease_row& lease, instant now, duration extra) const
{
    return now - lease.m_seen >= m_options.m_lease + m_options.m_clock_margin + extra;
}

bool lease_manager::own_lease_holds(instant now) const
{
    return m_holds_lease && (now < m_lease_end || promised_by_all(now));
}

bool lease_manager::is_mine(const group_row& group) const
{
    return m_holds_lease && group.m_value.m_owner == own_session();
}

bool lease_manager::is_free(const group_row& group) const
{
    // Scans read groups before leases and sessions never come back: a session without its lease
    // row is gone for good.
    const auto lease = m_leases.find(group.m_value.m_owner.m_vm);
    return lease == m_leases.end() || lease->second.m_holder != group.m_value.m_owner;
}

const session* lease_manager::preferred(std::uint64_t subject, instant now) const
{
    const session* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [vm, lease] : m_leases)
    {
        const bool usable = vm == m_options.m_vm ? !m_leaving && lease.m_holder == own_session()
                                                 : !expired(lease, now);
        const auto value = weight(vm, subject);
        if (!usable || (best != nullptr && value <= highest))
            continue;
        best = &lease.m_holder;
        highest = value;
    }
    return best;
}

platform::row_write lease_manager::move(group_index group, const session& to) const
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
    // An earlier process of this name may still run: wait as for any other owner.
    if (foreign && !expired(own->second, now))
        return;
    if (!m_holds_lease)
        ++m_session;
    m_last_renewal = now;
    m_sent_electors.clear();
    for (const auto& [vm, lease] : m_leases)
        if (vm != m_options.m_vm && !expired(lease, now))
            m_sent_electors.insert(vm);
    // Of an unclear renewal either set may be in the row.
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
        // One successor acts first, so that the others don't all run into conflicts.
        const auto* first = preferred(subject_of(vm), now);
        const bool is_first = first != nullptr && first->m_vm == m_options.m_vm;
        if (!is_first && !expired(lease, now, m_options.m_second_fencer))
            continue;
        row_writes writes{
            {.m_key = lease_key(m_prefix, vm), .m_expected_version = lease.m_version}};
        for (const auto& [index, group] : m_groups)
            if (group.m_value.m_owner == lease.m_holder)
                writes.push_back(move(index, *preferred(index, now)));
        m_fencing[lease.m_holder] = lease.m_version;
        commit(call_kind::move, std::move(writes), now, out);
        return true;
    }
    return false;
}

void lease_manager::stop_group(group_index group, const group_row& row, instant now)
{
    m_stopped.try_emplace(group, stopped_group{.m_version = row.m_version, .m_since = now});
}

void lease_manager::move_groups(instant now, actions& out)
{
    if (now - m_acquired < m_options.m_settle)
        return;
    row_writes writes;
    for (group_index index = 0; index < groups_per_data_centre; ++index)
    {
        const auto group = m_groups[index];
        const auto* wanted = preferred(index, now);
        if (wanted == nullptr)
            continue;
        const bool to_self = wanted->m_vm == m_options.m_vm;
        const auto stopped = m_stopped.find(index);
        if (is_mine(group) && !to_self && stopped == m_stopped.end())
            stop_group(index, group, now);
        else if (is_mine(group) && stopped != m_stopped.end())
        {
            // Also back to this VM: an earlier hand-over may still be on its way.
            if (now - stopped->second.m_since >= m_options.m_release_delay)
                writes.push_back(move(index, *wanted));
        }
        else if (to_self && is_free(group))
            writes.push_back(move(index, *wanted));
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
        if (now - m_stopped[index].m_since < m_options.m_release_delay)
            return;
        // A group that nobody wants now becomes free with the lease row.
        if (const auto* wanted = preferred(index, now))
            writes.push_back(move(index, *wanted));
    }
    commit(call_kind::leave, std::move(writes), now, out);
}

void lease_manager::announce(instant now, actions& out)
{
    std::map<group_index, std::uint64_t> owned;
    if (own_lease_holds(now) && !m_leaving)
        for (const auto& [index, group] : m_groups)
            if (is_mine(group) && !m_stopped.contains(index))
                owned[index] = group.m_value.m_epoch;
    if (owned == m_announced)
        return;
    m_announced = owned;
    out.emplace_back(groups_changed{std::move(owned)});
}

} // namespace dragonflygap::ownership
