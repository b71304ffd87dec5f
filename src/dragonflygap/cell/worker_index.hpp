#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// Numbers the workers of a cell and orders the open ones by capacity, so that a decision costs
/// what it looks at, however many workers there are. Answers the load of a leader with a thousand
/// workers that starts and ends hundreds of tasks a second. Does no I/O.
///
/// The workers are owned by the caller; their addresses must not change until they are removed.
class worker_index
{
public:
    /// Orders open workers by the millicores that they are expected to have free, most first.
    using room_order = std::set<std::pair<std::int64_t, worker_number>>;

    void add(worker_state& worker);
    void remove(worker_state& worker);

    /// nullptr if no worker has this number.
    worker_state* find(worker_number number) const;
    worker_state& at(worker_number number) const { return *m_workers[number]; }

    /// All numbers in use are lower than this.
    worker_number end() const { return static_cast<worker_number>(m_workers.size()); }

    /// Marks a worker as changed by an event; each is listed once until the changes are taken.
    void mark_changed(worker_state& worker);
    std::vector<worker_number> take_changed();

    /// Marks a worker whose free capacity may have grown for some step.
    void mark_grown(worker_state& worker);
    /// Makes the marks since the last call those of the pass that begins.
    void take_grown();
    std::span<const worker_number> grown() const { return m_grown; }

    /// Applies whether a worker may get tasks; a worker that opens has grown.
    void set_open(worker_state& worker, bool open);
    /// To be called when the free capacity, the claims or the speed class of a worker changed.
    void update_room(worker_state& worker);

    std::size_t open_count() const { return m_open_count; }
    /// Open workers of a service and a speed class. The first of each entry is the negated number of
    /// millicores.
    const room_order& open_workers(const service_id& service,
                                   speed_class speed = speed_class::usual) const;
    /// The most that any open worker has free, for each resource.
    resources max_free() const;

private:
    struct entry
    {
        bool m_changed = false;
        bool m_grown = false;
        bool m_open = false;
        std::int64_t m_key = 0;        ///< In the order, if open.
        room_order* m_order = nullptr; ///< Of its service and speed class, if open.
        resources m_free;              ///< When last updated, if open.
    };

    void insert(worker_state& worker);
    room_order& order_of(const worker_state& worker);

    std::vector<worker_state*> m_workers; ///< By number; nullptr: the number is unused.
    std::vector<entry> m_entries;         ///< By number.
    std::set<worker_number> m_unused;     ///< Numbers of removed workers.
    std::vector<worker_number> m_changed;
    std::vector<worker_number> m_grown;      ///< For the current pass.
    std::vector<worker_number> m_next_grown; ///< For the next pass.
    std::map<service_id, std::array<room_order, speed_class_count>> m_orders;
    std::size_t m_open_count = 0;
};

} // namespace dragonflygap::cell
