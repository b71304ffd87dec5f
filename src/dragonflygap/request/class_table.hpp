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

/// One class: its queue, what runs, and what was learned of it.
struct class_state
{
    explicit class_state(const config::request_class& declared)
        : m_class(declared), m_run_time(declared.m_expected)
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
    std::vector<const class_state*> m_shorter; ///< Classes for which this one leaves room.
    int m_reserved = 0;                        ///< Slots that those are to have, used or not.
    double m_usable_slots = 1;                 ///< Slots that this class can count on.
};

/// The classes in the order of service, and which of them may take the next slot.
class class_table
{
public:
    explicit class_table(slot_reserve_options options) : m_options(options) {}

    /// Takes over the configured classes; the result are those removed, with their queues.
    std::vector<std::unique_ptr<class_state>>
    assign(std::span<const config::request_class> classes);

    class_state* find(const class_id& name);

    /// Most urgent first, then the shorter ones.
    std::span<class_state* const> in_order() const { return m_order; }

    /// Learns from what runs, then works out the reserves anew.
    void refresh(instant now, int slots);

    bool may_start(const class_state& which, int free_slots, int slots) const;

    /// Free slots that the longest class must leave empty now.
    int kept_free() const;

    /// Run time of what waits in classes that are served before this one.
    duration work_before(const class_state& which) const;

private:
    static int kept_free_by(const class_state& which);
    bool others_wait(const class_state& which) const;
    void reserve_for(class_state& which, instant now, int slots);

    slot_reserve_options m_options;
    std::unordered_map<class_id, std::unique_ptr<class_state>> m_classes;
    std::vector<class_state*> m_order;
};

} // namespace dragonflygap::request
