#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// Capacity of one owner that is held for gangs while other owners are queried for the rest. A
/// gang with a lower id takes capacity held by one with a higher id, so that of competing gangs the
/// one with the lowest id always makes progress. Performs no I/O.
class gang_hold_table
{
public:
    /// Holds capacity for all of the tasks or for none; replaces an earlier hold of the gang.
    bool hold(const job_spec& spec, int count, instant expires, engine& placements);

    /// Allocates the held capacity; nothing if the hold has expired or was displaced.
    std::optional<std::vector<worker_id>> confirm(const job_id& gang, instant now,
                                                  engine& placements);

    void release(const job_id& gang, engine& placements);
    void expire(instant now, engine& placements);

    std::size_t size() const { return m_holds.size(); }

private:
    struct gang_hold
    {
        job_spec m_spec;
        std::vector<worker_id> m_workers;
        instant m_expires_at;
    };

    static void hold_workers(const gang_hold& held, engine& placements);
    static void drop_holds(const gang_hold& held, engine& placements);

    std::map<job_id, gang_hold> m_holds;
};

/// Another entry VM, and how many of a gang's tasks it has capacity for.
struct gang_offer
{
    vm_id m_owner;
    int m_count = 0;
};

enum class gang_decision
{
    wait,
    confirm, ///< All capacity is held: commit the move of the tasks in one write.
    release, ///< Capacity is missing, or the holds could expire before the write.
};

struct gang_round_options
{
    duration m_hold_duration = 10s; ///< Lifetime, from before the requests are sent.
    duration m_commit_timeout = 6s; ///< Of the write; the holds must outlive it.
};

/// One attempt to place a gang on the workers of several owners. Performs no I/O.
class gang_round
{
public:
    gang_round(gang_round_options options, instant now) : m_options(options), m_started_at(now) {}

    /// Splits the tasks over the fewest owners; returns what to request from each, or nothing if
    /// their capacity is too small.
    std::vector<gang_offer> begin(int count, std::span<const gang_offer> offers);

    gang_decision record_answer(const vm_id& owner, bool held, instant now);
    gang_decision check(instant now) const;

    instant expires() const { return m_started_at + m_options.m_hold_duration; }

private:
    gang_round_options m_options;
    instant m_started_at;
    std::map<vm_id, bool> m_held;
    bool m_refused = false;
};

} // namespace dragonflygap::placement
