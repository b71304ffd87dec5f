#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "dragonflygap/ownership/rows.hpp"
#include "dragonflygap/placement/engine.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/placement/worker_health.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::placement
{

/// A worker that this entry VM owns, and the epoch of its ownership.
struct owned_worker
{
    platform::worker m_info;
    std::uint64_t m_epoch = 0;
};

struct worker_tasks_options
{
    duration m_task_lease = 30s;
    duration m_renew_interval = 2s;
    duration m_silence_timeout = 15s; ///< Without a report for longer, leases aren't renewed.
    duration m_lease_margin = 5s;     ///< For clock differences and renewals in flight.
    duration m_predecessor_grace{};   ///< An earlier owner may renew this long after its loss.
    worker_health_options m_health;
};

/// Renew the leases of a worker's tasks, then report worker_reported.
struct renew_worker
{
    std::uint64_t m_call = 0;
    owned_worker m_worker;
    std::vector<task_id> m_acknowledged;
};

/// Tracks the owned workers: their reports, their tasks, and when their leases have certainly
/// expired.
///
/// A worker gets no new tasks until it has reported, under the current epoch, what it runs.
class worker_tasks
{
public:
    struct state
    {
        owned_worker m_worker;
        bool m_listed = true;     ///< In the platform's list of VMs.
        bool m_reachable = false; ///< Its address is known.
        bool m_reported = false;  ///< Has reported under this epoch.
        bool m_lost = false;      ///< Silent until all its leases expired.
        std::uint64_t m_call = 0; ///< Renewal in flight; 0: none.
        instant m_owned_since{};
        instant m_last_report_at{};
        instant m_last_lease_sent_at{}; ///< Last call that may have started or renewed a lease.
        instant m_renewal_sent_at{};
        std::map<task_id, job_spec> m_tasks; ///< Those that capacity is allocated to.
        std::vector<task_id> m_acknowledged;
    };

    explicit worker_tasks(worker_tasks_options options)
        : m_options(options), m_health(options.m_health)
    {
    }

    /// Replaces the workers. One that is no longer listed stays while its group is owned.
    void set_workers(std::span<const owned_worker> workers,
                     const std::map<ownership::group_index, std::uint64_t>& epochs, instant now);

    /// Adds a worker that is known only from a job's row; it counts as not having reported.
    void add_unlisted(const worker_id& worker, std::uint64_t epoch, instant now);

    /// Returns the renewals that are due.
    std::vector<renew_worker> renewals(instant now);

    /// Returns the workers whose leases have all expired since the last call; they are lost.
    std::vector<worker_id> detect_lost(instant now);

    /// Records the answer to a renewal; for a report, returns when the renewal was sent.
    std::optional<instant> record_report(const worker_id& worker, std::uint64_t call, bool answered,
                                         instant now);

    void record_start(const worker_id& worker, instant now);
    void record_result(const worker_id& worker, const job_id& job, bool success, instant now);
    void acknowledge(const worker_id& worker, const task_id& task);

    /// Discards earlier reports of a group's workers, after its parts were loaded: only new reports
    /// can be matched with all of its tasks.
    void expect_reports(ownership::group_index group);

    /// Allocates capacity to a task, unless it has some on this worker already. If
    /// already_allocated, the engine has allocated it and only the task is recorded.
    void allocate(const worker_id& worker, const task_id& task, const job_spec& spec,
                  bool already_allocated);
    void release(const worker_id& worker, const task_id& task);

    /// True once each worker of the group has reported or is lost.
    bool is_reconciled(ownership::group_index group) const;

    /// Updates which workers the engine may give new tasks to.
    void update_engine(instant now);

    const state* find(const worker_id& worker) const;
    const std::map<worker_id, state>& workers() const { return m_workers; }
    engine& placements() { return m_engine; }
    const engine& placements() const { return m_engine; }

private:
    instant lease_end(const state& worker) const;
    bool usable(const state& worker, instant now) const;

    worker_tasks_options m_options;
    engine m_engine;
    worker_health m_health;
    std::map<worker_id, state> m_workers;
    std::set<worker_id> m_in_engine;
    std::uint64_t m_last_call = 0;
};

} // namespace dragonflygap::placement
