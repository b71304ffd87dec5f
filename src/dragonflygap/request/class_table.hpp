#pragma once

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "dragonflygap/request/arrival_rate.hpp"
#include "dragonflygap/request/class_queue.hpp"
#include "dragonflygap/request/run_time_estimate.hpp"
#include "dragonflygap/request/slot_reserve.hpp"

namespace dragonflygap::request
{

/// A request class with its queue, running requests and estimates.
struct class_state
{
    explicit class_state(const config::request_class& class_config)
        : m_class(class_config), m_run_time(class_config.m_expected)
    {
    }

    void add_running(const tracked_request_ptr& request);
    void remove_running(const tracked_request& request);
    bool idle() const { return m_running.empty() && m_queue.size() == 0; }

    config::request_class m_class;
    class_queue m_queue;
    run_time_estimate m_run_time;
    arrival_rate m_arrivals;
    std::vector<tracked_request_ptr> m_running;
    std::vector<const class_state*> m_shorter_classes; ///< Classes for which slots are reserved.
    int m_reserved_slots = 0;                          ///< Slots for those classes, busy or free.
    double m_usable_slots = 1;                         ///< Slots that this class can rely on.
};

/// All classes in priority order; decides which of them may use the next free slot.
class class_table
{
public:
    explicit class_table(slot_reserve_options options) : m_options(options) {}

    /// Applies the configured classes. Returns the removed ones with their queues.
    std::vector<std::unique_ptr<class_state>>
    assign(std::span<const config::request_class> classes);

    class_state* find(const class_id& name);

    /// Most urgent first; classes of equal urgency by mean run time, shortest first.
    std::span<class_state* const> by_priority() const { return m_by_priority; }

    /// Updates the run time estimates from running requests, then the priorities and reserves.
    void refresh(instant now, int slots);

    bool may_start(const class_state& state, int free_slots, int slots) const;

    /// Largest number of free slots that any class must currently leave to shorter classes.
    int max_withheld_slots() const;

    /// Total expected run time of the requests queued in classes of higher priority.
    duration queued_work_before(const class_state& state) const;

private:
    static int withheld_slots(const class_state& state);
    bool others_are_waiting(const class_state& state) const;
    void update_reserve(class_state& state, instant now, int slots);

    slot_reserve_options m_options;
    std::unordered_map<class_id, std::unique_ptr<class_state>> m_classes;
    std::vector<class_state*> m_by_priority;
};

} // namespace dragonflygap::request
