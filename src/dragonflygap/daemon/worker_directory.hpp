#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/ownership/lease_manager.hpp"
#include "dragonflygap/placement/job_manager.hpp"
#include "dragonflygap/platform/vm_list.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap::daemon
{

/// The workers in the platform's VM list, and which of them this entry VM owns.
class worker_directory
{
public:
    using epochs = std::map<ownership::group_index, std::uint64_t>;

    worker_directory(data_centre_id data_centre, bool history)
        : m_data_centre(std::move(data_centre)), m_history(history)
    {
    }

    void set_listed(std::vector<platform::worker> workers);
    void set_owned_groups(const epochs& groups);

    /// False until the first VM list has been received.
    bool has_list() const { return m_has_list; }

    const epochs& owned_groups() const { return m_groups; }

    /// Owned workers and all workers of the cell, for the job manager.
    placement::workers_owned owned() const;

    /// The executors on owned workers.
    std::vector<request::target> targets() const;

    /// All listed workers as JSON, for the operator API.
    std::string to_json(const placement::engine& placements) const;

private:
    /// Epoch of the worker's group; 0 if this entry VM doesn't own it.
    std::uint64_t epoch_of(const platform::worker& worker) const;
    void record_changes(const epochs& next) const;

    data_centre_id m_data_centre;
    bool m_history;
    bool m_has_list = false;
    std::vector<platform::worker> m_workers;
    epochs m_groups;
};

} // namespace dragonflygap::daemon
