#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::platform
{

/// Keeps all task reports of the workers, assembled from answers that hold only the changed ones.
/// Does no I/O.
class report_cache
{
public:
    /// The cursor of the worker's last answer under this epoch; empty: request all reports.
    std::string cursor(const worker_id& worker, std::uint64_t epoch) const;

    /// Applies the answer to a renewal and returns all reports; nullopt if their count doesn't
    /// match the worker's and all reports must be requested again.
    std::optional<std::vector<task_report>>
    apply(const worker_id& worker, const renew_leases& request, const renewal& answer);

    void forget(const worker_id& worker) { m_workers.erase(worker); }

    /// Marks a renewal as in flight; false if one already is. Answers out of order would restore
    /// outdated reports.
    bool begin_renewal(const worker_id& worker) { return m_in_flight.insert(worker).second; }
    void end_renewal(const worker_id& worker) { m_in_flight.erase(worker); }

private:
    struct cached_reports
    {
        std::uint64_t m_epoch = 0;
        std::string m_cursor;
        std::map<task_id, task_report> m_tasks;
    };

    std::map<worker_id, cached_reports> m_workers;
    std::set<worker_id> m_in_flight;
};

} // namespace dragonflygap::platform
