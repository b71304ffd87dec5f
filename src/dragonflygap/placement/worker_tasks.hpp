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

/// A worker that this entry VM owns, and under which epoch.
struct owned_worker
{
    platform::worker m_info;
    std::uint64_t m_epoch = 0;
};

struct worker_tasks_options
{
    duration m_task_lease = 30s;
    duration m_renew_every = 2s;
    duration m_silent_after = 15s;  ///< Without a report for longer, leases aren't renewed.
    duration m_lease_margin = 5s;   ///< For clocks, and for renewals on their way.
    duration m_predecessor_grace{}; ///< How long an earlier owner may renew after its loss.
    worker_health_options m_health;
};

/// Renew the leases of a worker's tasks, then report worker_reported.
struct renew_worker
{
    std::uint64_t m_call = 0;
    owned_worker m_worker;
    std::vector<task_id> m_acknowledged;
};

/// The owned workers: which have reported, what runs on them, when a lease has surely run out.
///
/// A worker gets nothing new before it has reported what it runs under the present epoch.
class worker_tasks
{
public:
    struct state
    {
        owned_worker m_worker;
        bool m_listed = true;     ///< In the platform's list of VMs.
        bool m_reachable = false; ///< Its address is known.
        bool m_reported = false;  ///< Has reported under this epoch.
        bool m_lost = false;      ///< Silent until every lease had run out.
        std::uint64_t m_call = 0; ///< Renewal under way; 0: none.
        instant m_owned_since{};
        instant m_last_report{};
        instant m_last_sent{}; ///< Last call that may have started a lease or renewed one.
        instant m_renew_sent{};
        std::map<task_id, job_spec> m_tasks; ///< Those that take room.
        std::vector<task_id> m_acknowledged;
    };

    explicit worker_tasks(worker_tasks_options options)
        : m_options(options), m_health(options.m_health)
    {
    }

    /// Replaces the workers. One that vanished from the list stays while its group is owned.
    void set_workers(std::span<const owned_worker> workers,
                     const std::map<ownership::group_index, std::uint64_t>& epochs, instant now);

    /// A worker that only a job's row names; it counts as silent.
    void add_unlisted(const worker_id& worker, std::uint64_t epoch, instant now);

    /// Renewals that are due; workers whose leases have all run out since the last call are lost.
    std::vector<renew_worker> renewals(instant now);
    std::vector<worker_id> take_lost(instant now);

    /// A report came; gives the instant at which its renewal was sent.
    std::optional<instant> reported(const worker_id& worker, std::uint64_t call, bool answered,
                                    instant now);

    void started(const worker_id& worker, instant now);
    void count_result(const worker_id& worker, const job_id& job, bool good, instant now);
    void acknowledge(const worker_id& worker, const task_id& task);

    /// The parts of a group were read: only reports from now on tell all that runs.
    void expect_reports(ownership::group_index group);

    /// Takes room for a task, unless it has some on this worker already.
    void take(const worker_id& worker, const task_id& task, const job_spec& spec, bool placed);
    void release(const worker_id& worker, const task_id& task);

    /// True once every worker of the group has reported, or its leases have run out.
    bool settled(ownership::group_index group) const;

    /// Brings the engine up to date with who may get new tasks.
    void update_engine(instant now);

    const state* find(const worker_id& worker) const;
    const std::map<worker_id, state>& workers() const { return m_workers; }
    engine& room() { return m_engine; }
    const engine& room() const { return m_engine; }

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
