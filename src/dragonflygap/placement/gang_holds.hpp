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

/// Room of one owner that gangs hold while their other tasks' room is sought at other owners.
/// A gang of a lesser id takes held room from one of a greater id, so of gangs that get in each
/// other's way the least always gets on. Pure.
class hold_book
{
public:
    /// Holds room for all the tasks or for none; a repeated call holds anew.
    bool hold(const job_spec& spec, int count, instant expires, engine& room);

    /// Turns held room into tasks; nothing if the hold has lapsed or was taken away.
    std::optional<std::vector<worker_id>> confirm(const job_id& gang, instant now, engine& room);

    void release(const job_id& gang, engine& room);
    void expire(instant now, engine& room);

    std::size_t size() const { return m_holds.size(); }

private:
    struct gang_hold
    {
        job_spec m_spec;
        std::vector<worker_id> m_workers;
        instant m_expires;
    };

    static void keep(const gang_hold& kept, engine& room);
    static void give_up(const gang_hold& given, engine& room);

    std::map<job_id, gang_hold> m_holds;
};

/// Another entry VM, and how many of a gang's tasks it has room for.
struct gang_offer
{
    vm_id m_owner;
    int m_count = 0;
};

enum class gang_decision
{
    wait,
    confirm, ///< All room is held: keep the move of the tasks in the table, in one write.
    release, ///< Room is missing, or the holds would lapse before the write is settled.
};

struct gang_round_options
{
    duration m_hold = 10s;         ///< Life of the holds, from before they are asked for.
    duration m_settle_within = 6s; ///< What the write may take; holds must outlive it.
};

/// One try at placing a gang on the workers of several owners. Pure.
class gang_round
{
public:
    gang_round(gang_round_options options, instant now) : m_options(options), m_begun(now) {}

    /// Splits the tasks over the fewest owners; what to ask of each, or nothing if they lack room.
    std::vector<gang_offer> begin(int count, std::span<const gang_offer> offers);

    gang_decision answered(const vm_id& owner, bool held, instant now);
    gang_decision check(instant now) const;

    instant expires() const { return m_begun + m_options.m_hold; }

private:
    gang_round_options m_options;
    instant m_begun;
    std::map<vm_id, bool> m_held;
    bool m_refused = false;
};

} // namespace dragonflygap::placement
