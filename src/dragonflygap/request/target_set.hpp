#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// Whether a failure speaks against the target, not against the request.
bool is_target_fault(reason why);

struct target_health_options
{
    int m_failures_to_eject = 5;       ///< In a row.
    double m_max_ejected_share = 0.34; ///< Never more of the targets; a lone one is never ejected.
    duration m_first_ejection = 5s;    ///< Doubles with every further one.
    duration m_longest_ejection = 60s;
    int m_successes_to_return = 3; ///< In probation, one request at a time.
};

/// The targets owned here: free slots, and which of them fail everything.
class target_set
{
public:
    explicit target_set(target_health_options options) : m_options(options) {}

    /// Targets not named keep the count of what they still run, in case they come back.
    void assign(std::span<const target> targets);

    /// The target with most free slots; another than avoid if there is one. Null if all are full.
    const target* choose(const target_id& avoid) const;

    void take(const target_id& id);
    void release(const target_id& id);
    void succeeded(const target_id& id);
    void failed(const target_id& id, instant now);

    /// Ejected targets whose time is over come into probation.
    void tick(instant now);

    bool empty() const { return m_owned == 0; }
    int slots() const { return m_slots; }
    int free_slots() const;
    int ejected() const;

private:
    enum class health
    {
        good,
        ejected,
        probation,
    };

    struct entry
    {
        target m_target;
        bool m_owned = true;
        int m_running = 0;
        health m_health = health::good;
        int m_failures = 0;
        int m_successes = 0;
        int m_ejections = 0;
        instant m_ejected_until{};
    };

    static int usable_slots(const entry& item);
    static int free_slots(const entry& item);
    entry* find(const target_id& id);
    void eject(entry& item, instant now);
    void recount();

    target_health_options m_options;
    std::vector<entry> m_entries;
    std::unordered_map<target_id, std::size_t> m_index;
    int m_owned = 0;
    int m_slots = 0; ///< Of targets that may be used.
};

} // namespace dragonflygap::request
