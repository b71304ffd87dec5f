#include <algorithm>
#include <set>
#include <utility>

#include "dragonflygap/node/leader_task.hpp"
#include "dragonflygap/observe/log.hpp"

// The members of the cell, as their leader sees them.
namespace dragonflygap::node
{

void leader_task::read_members()
{
    m_options.m_store.m_scan(
        std::string(cell::member_table), m_options.m_commit_timeout,
        [this, alive = m_alive](const outcome<std::vector<cell::stored_row>>& rows)
        {
            if (*alive && rows)
                update_members(*rows);
        });
}

void leader_task::update_members(const std::vector<cell::stored_row>& rows)
{
    const auto now = monotonic_clock::now();
    std::set<vm_id> registered{m_options.m_vm};
    for (const auto& row : rows)
    {
        const auto record = cell::unpack<cell::member_record>(row.m_value);
        if (!record || record->m_vm == m_options.m_vm)
            continue;
        registered.insert(record->m_vm);
        auto& member = m_members[record->m_vm];
        member.m_processor_share = record->m_processor_share;
        member.m_memory_mb = record->m_memory_mb;
        if (member.m_address != record->m_address)
        {
            member.m_address = record->m_address;
            member.m_dialled_at = member.m_redialled_at = now;
            m_options.m_add_peer(record->m_vm, record->m_address);
            m_options.m_send(record->m_vm, heartbeat());
        }
        else if (now - std::max(member.m_last_heard_at, member.m_dialled_at) <=
                 m_options.m_member_read_interval)
            member.m_silent_reads = 0;
        // Reads are counted, as a frozen leader has heard nobody for long when it wakes.
        else if (++member.m_silent_reads * m_options.m_member_read_interval >=
                 m_options.m_member_retention)
            retire_member(record->m_vm, row);
    }
    std::erase_if(m_members,
                  [this, &registered](const auto& entry)
                  {
                      if (registered.count(entry.first) != 0)
                          return false;
                      m_options.m_remove_peer(entry.first);
                      return true;
                  });
}

// A VM that was removed for good doesn't remove its row. One that is only cut off registers again.
void leader_task::retire_member(const vm_id& vm, const cell::stored_row& row)
{
    log_event(log_level::info, "member_retired", {{"vm", vm.m_value}});
    cell::transaction change;
    change.m_conditions.push_back({row.m_name, row.m_version});
    change.m_deletes.push_back(row.m_name);
    // Without effect it is retried after the next read of the members.
    m_options.m_store.m_commit(std::move(change), m_options.m_commit_timeout,
                               [](const outcome<cell::transaction_result>&) {});
}

bool leader_task::is_responsive(const member& candidate) const
{
    return monotonic_clock::now() - candidate.m_last_heard_at < m_options.m_member_timeout &&
           !candidate.m_stopping;
}

// A pipe may go silent in one direction, without being reset. Only its sender can replace it, and
// the messages that it still receives don't tell it.
bool leader_task::hears(const member& sender) const
{
    return monotonic_clock::now() - std::max(sender.m_last_heard_at, sender.m_dialled_at) <=
           m_options.m_redial_delay;
}

bool leader_task::cut_off() const
{
    // A VM that was paused has heard nobody meanwhile.
    const auto since = std::max(m_coordinator.last_commit_at(), m_coordinator.resumed_at());
    if (m_coordinator.last_commit_at() == instant{} ||
        monotonic_clock::now() - since <= m_options.m_cut_off_timeout)
        return false;
    const auto responsive_count =
        std::count_if(m_members.begin(), m_members.end(),
                      [this](const auto& entry)
                      { return entry.first == m_options.m_vm || is_responsive(entry.second); });
    return 2 * static_cast<std::size_t>(responsive_count) < m_members.size();
}

void leader_task::report_store()
{
    if (m_stopped)
        return;
    m_store_heard_at = std::max(m_store_heard_at, m_options.m_store_answered_at());
    process_event(cell::store_heard{m_store_heard_at});
}

// Any member may lead next, also one that is silent now.
std::int64_t leader_task::least_memory_mb() const
{
    std::int64_t least = 0;
    for (const auto& [vm, member] : m_members)
        if (member.m_memory_mb > 0 && (least == 0 || member.m_memory_mb < least))
            least = member.m_memory_mb;
    return least;
}

void leader_task::check_members()
{
    const auto now = monotonic_clock::now();
    std::vector<vm_id> responsive;
    for (auto& [vm, member] : m_members)
    {
        const bool self = vm == m_options.m_vm;
        if (self || is_responsive(member))
            responsive.push_back(vm);
        else if (now - std::max(member.m_last_heard_at, member.m_redialled_at) >
                 m_options.m_redial_delay)
        {
            member.m_redialled_at = now;
            m_options.m_redial(vm);
        }
    }
    const auto least_memory = least_memory_mb();
    if (responsive == m_responsive_members && least_memory == m_least_memory_mb)
        return;
    m_responsive_members = responsive;
    m_least_memory_mb = least_memory;
    log_event(log_level::info, "members_changed",
              {{"members", responsive.size()}, {"least_memory_mb", least_memory}});
    process_event(cell::members_changed{std::move(responsive), least_memory});
}

} // namespace dragonflygap::node
