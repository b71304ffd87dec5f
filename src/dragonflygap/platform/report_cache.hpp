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

/// All task reports of the workers, put together from answers that tell only what changed. Pure.
class report_cache
{
public:
    /// What the worker told last under this epoch; empty: it has to tell everything.
    std::string cursor(const worker_id& worker, std::uint64_t epoch) const;

    /// All reports after the answer to a renewal; nothing if they don't add up and everything must
    /// be asked for.
    std::optional<std::vector<task_report>>
    apply(const worker_id& worker, const renew_leases& renewed, const renewal& answer);

    void forget(const worker_id& worker) { m_workers.erase(worker); }

    /// Marks that a renewal is under way; false if one is already. Answers out of order would
    /// bring back what has changed since.
    bool begin(const worker_id& worker) { return m_under_way.insert(worker).second; }
    void end(const worker_id& worker) { m_under_way.erase(worker); }

private:
    struct known_reports
    {
        std::uint64_t m_epoch = 0;
        std::string m_cursor;
        std::map<task_id, task_report> m_tasks;
    };

    std::map<worker_id, known_reports> m_workers;
    std::set<worker_id> m_under_way;
};

} // namespace dragonflygap::platform
