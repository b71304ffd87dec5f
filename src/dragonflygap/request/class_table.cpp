#include "dragonflygap/request/class_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflygap::request
{

namespace
{

// Work this many times shorter is worth an empty slot.
constexpr int times_shorter = 4;

// However busy the others are, a class can count on this share of the slots.
constexpr double least_usable_share = 0.1;

double run_seconds(const class_state& which)
{
    return std::chrono::duration<double>(which.m_run_time.mean()).count();
}

double offered_slots(const class_state& which, instant now)
{
    if (which.m_arrivals.quiet(now))
        return 0;
    return which.m_arrivals.per_second(now) * run_seconds(which);
}

} // namespace

void class_state::add_running(const tracked_request_ptr& request)
{
    request->m_running_index = m_running.size();
    m_running.push_back(request);
}

void class_state::remove_running(const tracked_request& request)
{
    const std::size_t index = request.m_running_index;
    if (index >= m_running.size() || m_running[index].get() != &request)
        return;
    if (index + 1 != m_running.size())
    {
        m_running[index] = std::move(m_running.back());
        m_running[index]->m_running_index = index;
    }
    m_running.pop_back();
}

std::vector<std::unique_ptr<class_state>>
class_table::assign(std::span<const config::request_class> classes)
{
    std::unordered_map<class_id, std::unique_ptr<class_state>> next;
    for (const auto& declared : classes)
    {
        auto node = m_classes.extract(declared.m_name);
        auto& state = next[declared.m_name];
        if (node.empty())
        {
            state = std::make_unique<class_state>(declared);
            continue;
        }
        state = std::move(node.mapped());
        if (state->m_class.m_expected != declared.m_expected)
            state->m_run_time = run_time_estimate(declared.m_expected);
        state->m_class = declared;
    }
    std::swap(m_classes, next);
    std::vector<std::unique_ptr<class_state>> removed;
    removed.reserve(next.size());
    for (auto& [name, state] : next)
        removed.push_back(std::move(state));
    m_order.clear();
    for (const auto& [name, state] : m_classes)
        m_order.push_back(state.get());
    return removed;
}

class_state* class_table::find(const class_id& name)
{
    const auto found = m_classes.find(name);
    return found == m_classes.end() ? nullptr : found->second.get();
}

void class_table::refresh(instant now, int slots)
{
    std::vector<duration> running;
    for (auto* which : m_order)
    {
        running.clear();
        for (const auto& request : which->m_running)
            running.push_back(now - request->m_dispatched);
        which->m_run_time.refresh(running);
    }
    std::ranges::sort(m_order, {},
                      [](const class_state* which)
                      {
                          return std::tuple(which->m_class.m_urgency, which->m_run_time.mean(),
                                            which->m_class.m_name.m_value);
                      });
    for (auto* which : m_order)
        reserve_for(*which, now, slots);
}

void class_table::reserve_for(class_state& which, instant now, int slots)
{
    which.m_shorter.clear();
    double shorter = 0;
    double lasting = 0;
    for (const auto* other : m_order)
    {
        if (other == &which || other->m_class.m_urgency > which.m_class.m_urgency)
            continue;
        const bool shorter_class =
            other->m_run_time.mean() * times_shorter <= which.m_run_time.mean();
        const bool before = shorter_class || other->m_class.m_urgency < which.m_class.m_urgency;
        lasting += before ? other->m_arrivals.lasting_per_second(now) * run_seconds(*other) : 0;
        if (!shorter_class)
            continue;
        which.m_shorter.push_back(other);
        shorter += offered_slots(*other, now);
    }
    which.m_reserved = reserved_slots(shorter, slots, m_options);
    which.m_usable_slots = std::max({1.0, least_usable_share * slots, slots - lasting});
}

int class_table::kept_free_by(const class_state& which)
{
    std::size_t running = 0;
    for (const auto* other : which.m_shorter)
        running += other->m_running.size();
    return std::max(0, which.m_reserved - static_cast<int>(running));
}

int class_table::kept_free() const
{
    int most = 0;
    for (const auto* which : m_order)
        most = std::max(most, kept_free_by(*which));
    return most;
}

bool class_table::others_wait(const class_state& which) const
{
    return std::ranges::any_of(m_order, [&](const class_state* other)
                               { return other != &which && other->m_queue.size() != 0; });
}

bool class_table::may_start(const class_state& which, int free_slots, int slots) const
{
    if (free_slots <= kept_free_by(which))
        return false;
    const auto limit = std::max(1, static_cast<int>(which.m_class.m_slot_share * slots));
    return static_cast<int>(which.m_running.size()) < limit || !others_wait(which);
}

duration class_table::work_before(const class_state& which) const
{
    duration sum{};
    for (const auto* other : m_order)
    {
        if (other == &which)
            break;
        sum += other->m_run_time.mean() * static_cast<long long>(other->m_queue.size());
    }
    return sum;
}

} // namespace dragonflygap::request
