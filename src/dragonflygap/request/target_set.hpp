#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// Whether a failure is attributed to the target rather than the request.
bool is_target_fault(reason cause);

struct target_health_options
{
    int m_failures_to_eject = 5;        ///< Consecutive failures.
    double m_max_ejected_share = 0.34;  ///< Rounded down: a lone target is never ejected.
    duration m_base_ejection_time = 5s; ///< Doubled for each further ejection.
    duration m_max_ejection_time = 60s;
    int m_successes_to_recover = 3; ///< In probation, with one request at a time.
};

/// The targets owned by this entry VM; tracks their free slots and ejects failing ones.
class target_set
{
public:
    explicit target_set(target_health_options options) : m_options(options) {}

    /// Removed targets that still run requests keep their running count in case they return.
    void assign(std::span<const target> targets);

    /// The target with the most free slots; returns avoid only if no other has a free slot. Null if
    /// all are full.
    const target* choose(const target_id& avoid) const;

    void acquire(const target_id& id);
    void release(const target_id& id);
    void record_success(const target_id& id);
    void record_failure(const target_id& id, instant now);

    /// Moves targets whose ejection time is over into probation.
    void tick(instant now);

    bool empty() const { return m_owned == 0; }
    /// Slots of usable targets: owned, not leaving and not ejected; one per target in probation.
    int slots() const { return m_slots; }
    int free_slots() const;
    /// Number of owned targets that are ejected or in probation.
    int ejected() const;

private:
    enum class health
    {
        healthy,
        ejected,
        probation,
    };

    struct entry
    {
        target m_target;
        bool m_owned = true;
        int m_running = 0;
        health m_health = health::healthy;
        int m_failures = 0;
        int m_successes = 0;
        int m_ejections = 0;
        instant m_ejected_until{};
    };

    static int usable_slots(const entry& item);
    static int free_slots(const entry& item);
    entry* find(const target_id& id);
    void eject(entry& item, instant now);
    void update_counts();

    target_health_options m_options;
    std::vector<entry> m_entries;
    std::unordered_map<target_id, std::size_t> m_index;
    int m_owned = 0;
    int m_slots = 0; ///< Slots of usable targets.
};

} // namespace dragonflygap::request
