#include "dragonflygap/daemon/worker_directory.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/observe/history.hpp"

namespace dragonflygap::daemon
{

void worker_directory::set_listed(std::vector<platform::worker> workers)
{
    m_has_list = true;
    m_workers = std::move(workers);
}

void worker_directory::set_owned_groups(const epochs& groups)
{
    if (m_history)
        record_changes(groups);
    m_groups = groups;
}

void worker_directory::record_changes(const epochs& next) const
{
    for (const auto& [group, epoch] : m_groups)
        if (const auto kept = next.find(group); kept == next.end() || kept->second != epoch)
            history::record(history::lease_changed{m_data_centre, group, epoch, false});
    for (const auto& [group, epoch] : next)
        if (const auto old = m_groups.find(group); old == m_groups.end() || old->second != epoch)
            history::record(history::lease_changed{m_data_centre, group, epoch, true});
}

std::uint64_t worker_directory::epoch_of(const platform::worker& worker) const
{
    if (worker.m_data_centre != m_data_centre)
        return 0;
    const auto found = m_groups.find(ownership::group_of(worker.m_id));
    return found == m_groups.end() ? 0 : found->second;
}

placement::workers_owned worker_directory::owned() const
{
    placement::workers_owned result{.m_epochs = m_groups, .m_cell = m_workers};
    for (const auto& worker : m_workers)
        if (const auto epoch = epoch_of(worker); epoch != 0)
            result.m_workers.push_back({worker, epoch});
    return result;
}

std::vector<request::target> worker_directory::targets() const
{
    std::vector<request::target> result;
    for (const auto& worker : m_workers)
    {
        if (epoch_of(worker) == 0)
            continue;
        for (const auto& executor : worker.m_executors)
            result.push_back({.m_id = executor.m_id,
                              .m_worker = worker.m_id,
                              .m_address = executor.m_address,
                              .m_slots = executor.m_slots,
                              .m_connections = executor.m_connections,
                              .m_leaving = worker.m_leaving});
    }
    return result;
}

std::string worker_directory::to_json(const placement::engine& placements) const
{
    auto list = nlohmann::json::array();
    for (const auto& worker : m_workers)
    {
        const auto epoch = epoch_of(worker);
        list.push_back({{"id", worker.m_id.m_value},
                        {"data_centre", worker.m_data_centre.m_value},
                        {"rack", worker.m_rack.m_value},
                        {"leaving", worker.m_leaving},
                        {"owned", epoch != 0},
                        {"epoch", epoch},
                        {"millicores", worker.m_capacity.m_millicores},
                        {"committed_millicores", placements.committed(worker.m_id).m_millicores}});
    }
    return list.dump();
}

} // namespace dragonflygap::daemon
