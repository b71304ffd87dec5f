#include "dragonflygap/request/class_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflygap::request
{

namespace
{

// Slots are reserved for classes whose requests are shorter by at least this factor.
constexpr int short_class_ratio = 4;

// Every class is assumed to get at least this share of the slots, however busy the others are.
constexpr double min_usable_share = 0.1;

double mean_run_seconds(const class_state& state)
{
    return std::chrono::duration<double>(state.m_run_time.mean()).count();
}

double offered_load(const class_state& state, instant now)
{
    if (state.m_arrivals.is_idle(now))
        return 0;
    return state.m_arrivals.per_second(now) * mean_run_seconds(state);
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
    for (const auto& class_config : classes)
    {
        auto existing = m_classes.extract(class_config.m_name);
        auto& state = next[class_config.m_name];
        if (existing.empty())
        {
            state = std::make_unique<class_state>(class_config);
            continue;
        }
        state = std::move(existing.mapped());
        if (state->m_class.m_expected != class_config.m_expected)
            state->m_run_time = run_time_estimate(class_config.m_expected);
        state->m_class = class_config;
    }
    std::swap(m_classes, next);
    std::vector<std::unique_ptr<class_state>> removed;
    removed.reserve(next.size());
    for (auto& [name, state] : next)
        removed.push_back(std::move(state));
    m_by_priority.clear();
    for (const auto& [name, state] : m_classes)
        m_by_priority.push_back(state.get());
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
    for (auto* state : m_by_priority)
    {
        running.clear();
        for (const auto& request : state->m_running)
            running.push_back(now - request->m_dispatched_at);
        state->m_run_time.refresh(running);
    }
    std::ranges::sort(m_by_priority, {},
                      [](const class_state* state)
                      {
                          return std::tuple(state->m_class.m_urgency, state->m_run_time.mean(),
                                            state->m_class.m_name.m_value);
                      });
    for (auto* state : m_by_priority)
        update_reserve(*state, now, slots);
}

void class_table::update_reserve(class_state& state, instant now, int slots)
{
    state.m_shorter_classes.clear();
    double shorter_load = 0;
    double sustained_load = 0;
    for (const auto* other : m_by_priority)
    {
        if (other == &state || other->m_class.m_urgency > state.m_class.m_urgency)
            continue;
        const bool is_shorter =
            other->m_run_time.mean() * short_class_ratio <= state.m_run_time.mean();
        const bool is_served_first =
            is_shorter || other->m_class.m_urgency < state.m_class.m_urgency;
        sustained_load +=
            is_served_first ? other->m_arrivals.sustained_per_second(now) * mean_run_seconds(*other)
                            : 0;
        if (!is_shorter)
            continue;
        state.m_shorter_classes.push_back(other);
        shorter_load += offered_load(*other, now);
    }
    state.m_reserved_slots = reserved_slots(shorter_load, slots, m_options);
    state.m_usable_slots = std::max({1.0, min_usable_share * slots, slots - sustained_load});
}

int class_table::withheld_slots(const class_state& state)
{
    std::size_t running = 0;
    for (const auto* other : state.m_shorter_classes)
        running += other->m_running.size();
    return std::max(0, state.m_reserved_slots - static_cast<int>(running));
}

int class_table::max_withheld_slots() const
{
    int result = 0;
    for (const auto* state : m_by_priority)
        result = std::max(result, withheld_slots(*state));
    return result;
}

bool class_table::others_are_waiting(const class_state& state) const
{
    return std::ranges::any_of(m_by_priority, [&](const class_state* other)
                               { return other != &state && other->m_queue.size() != 0; });
}

bool class_table::may_start(const class_state& state, int free_slots, int slots) const
{
    if (free_slots <= withheld_slots(state))
        return false;
    const auto limit = std::max(1, static_cast<int>(state.m_class.m_slot_share * slots));
    return static_cast<int>(state.m_running.size()) < limit || !others_are_waiting(state);
}

duration class_table::queued_work_before(const class_state& state) const
{
    duration sum{};
    for (const auto* other : m_by_priority)
    {
        if (other == &state)
            break;
        sum += other->m_run_time.mean() * static_cast<long long>(other->m_queue.size());
    }
    return sum;
}

} // namespace dragonflygap::request
