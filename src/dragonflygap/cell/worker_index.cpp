#include "dragonflygap/cell/worker_index.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

void worker_index::add(worker_state& worker)
{
    if (m_unused.empty())
    {
        worker.m_number = end();
        m_workers.push_back(&worker);
        m_entries.emplace_back();
    }
    else
    {
        worker.m_number = *m_unused.begin();
        m_unused.erase(m_unused.begin());
        m_workers[worker.m_number] = &worker;
    }
    mark_changed(worker);
}

void worker_index::remove(worker_state& worker)
{
    set_open(worker, false);
    const auto number = worker.m_number;
    std::erase(m_changed, number);
    std::erase(m_grown, number);
    std::erase(m_next_grown, number);
    m_entries[number] = {};
    m_workers[number] = nullptr;
    m_unused.insert(number);
}

worker_state* worker_index::find(worker_number number) const
{
    return number < m_workers.size() ? m_workers[number] : nullptr;
}

void worker_index::mark_changed(worker_state& worker)
{
    if (!std::exchange(m_entries[worker.m_number].m_changed, true))
        m_changed.push_back(worker.m_number);
}

std::vector<worker_number> worker_index::take_changed()
{
    for (const auto number : m_changed)
        m_entries[number].m_changed = false;
    return std::exchange(m_changed, {});
}

void worker_index::mark_grown(worker_state& worker)
{
    if (!std::exchange(m_entries[worker.m_number].m_grown, true))
        m_next_grown.push_back(worker.m_number);
}

void worker_index::take_grown()
{
    for (const auto number : m_next_grown)
        m_entries[number].m_grown = false;
    m_grown = std::exchange(m_next_grown, {});
}

void worker_index::set_open(worker_state& worker, bool open)
{
    auto& known = m_entries[worker.m_number];
    worker.m_pass.m_open = open;
    if (known.m_open == open)
        return update_room(worker);
    known.m_open = open;
    if (open)
    {
        ++m_open_count;
        insert(worker);
        mark_grown(worker);
        return;
    }
    --m_open_count;
    known.m_order->erase({known.m_key, worker.m_number});
}

void worker_index::update_room(worker_state& worker)
{
    auto& known = m_entries[worker.m_number];
    if (!known.m_open)
        return;
    known.m_free = worker.free();
    if (known.m_key == -worker.expected_free_millicores() && known.m_order == &order_of(worker))
        return;
    known.m_order->erase({known.m_key, worker.m_number});
    insert(worker);
}

void worker_index::insert(worker_state& worker)
{
    auto& known = m_entries[worker.m_number];
    known.m_key = -worker.expected_free_millicores();
    known.m_order = &order_of(worker);
    known.m_free = worker.free();
    known.m_order->emplace(known.m_key, worker.m_number);
}

worker_index::room_order& worker_index::order_of(const worker_state& worker)
{
    return m_orders[worker.m_info.m_service][static_cast<std::size_t>(worker.m_speed)];
}

const worker_index::room_order& worker_index::open_workers(const service_id& service,
                                                           speed_class speed) const
{
    static const room_order none;
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? none : found->second[static_cast<std::size_t>(speed)];
}

resources worker_index::max_free() const
{
    resources result;
    for (const auto& known : m_entries)
        if (known.m_open)
            result = {std::max(result.m_millicores, known.m_free.m_millicores),
                      std::max(result.m_memory_mb, known.m_free.m_memory_mb),
                      std::max(result.m_accelerators, known.m_free.m_accelerators)};
    return result;
}

} // namespace dragonflygap::cell
