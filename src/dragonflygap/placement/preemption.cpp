#include "dragonflygap/placement/preemption.hpp"

#include <algorithm>
#include <chrono>

namespace dragonflygap::placement
{

namespace
{

// Run time that a checkpoint and a restart cost a task.
constexpr duration checkpoint_cost = 2s;

double lost_work(const victim_candidate& task)
{
    const auto lost =
        task.m_checkpoints ? std::min(task.m_elapsed, checkpoint_cost) : task.m_elapsed;
    return std::chrono::duration<double>(lost).count() *
           static_cast<double>(task.m_size.m_millicores) / 1000.0;
}

preemption_cost cost_of(const victim_candidate& task)
{
    return {.m_services = task.m_kind == job_kind::service ? 1 : 0,
            .m_gang_tasks = task.m_kind == job_kind::gang ? 1 : 0,
            .m_lost_work = lost_work(task)};
}

preemption_cost cost_of(std::span<const victim_candidate> victims)
{
    preemption_cost sum;
    for (const auto& victim : victims)
    {
        const auto cost = cost_of(victim);
        sum.m_services += cost.m_services;
        sum.m_gang_tasks += cost.m_gang_tasks;
        sum.m_lost_work += cost.m_lost_work;
    }
    return sum;
}

/// Adds victims of one worker, cheapest first, until the task fits; then drops unneeded ones.
std::vector<victim_candidate> choose_victims(const resources& size, resources free,
                                             std::vector<victim_candidate> candidates)
{
    std::ranges::stable_sort(candidates, [](const auto& left, const auto& right)
                             { return cost_of(left) < cost_of(right); });
    std::vector<victim_candidate> chosen;
    for (auto& candidate : candidates)
    {
        if (size.fits_in(free))
            break;
        free += candidate.m_size;
        chosen.push_back(std::move(candidate));
    }
    if (!size.fits_in(free))
        return {};
    for (auto each = chosen.rbegin(); each != chosen.rend();)
    {
        const auto without = free - each->m_size;
        if (!size.fits_in(without))
        {
            ++each;
            continue;
        }
        free = without;
        each = std::make_reverse_iterator(chosen.erase(std::next(each).base()));
    }
    return chosen;
}

} // namespace

std::optional<preemption_plan> plan_preemption(const job_spec& urgent, const engine& placements,
                                               std::span<const victim_candidate> candidates)
{
    std::map<worker_id, std::vector<victim_candidate>> by_worker;
    for (const auto& candidate : candidates)
        if (!candidate.m_urgent && candidate.m_job != urgent.m_id)
            by_worker[candidate.m_worker].push_back(candidate);
    std::optional<preemption_plan> best;
    for (auto& [worker, tasks] : by_worker)
    {
        if (!placements.admits(urgent, worker))
            continue;
        auto victims = choose_victims(urgent.m_size, placements.free(worker), std::move(tasks));
        if (victims.empty())
            continue;
        const auto cost = cost_of(victims);
        if (best && best->m_cost <= cost)
            continue;
        best = {.m_worker = worker, .m_victims = std::move(victims), .m_cost = cost};
    }
    return best;
}

std::vector<victim_candidate> preemptor::make_plan(const task_key& task, const job_spec& spec,
                                                   engine& placements,
                                                   std::span<const victim_candidate> candidates,
                                                   instant now)
{
    if (!needs_plan(task, now) || !placements.within_quota(spec))
        return {};
    const auto found = m_active.find(task);
    const auto usable = [&](const victim_candidate& candidate)
    {
        if (is_victim(candidate.m_task))
            return false;
        // A worker that didn't confirm is not planned again for the same task.
        return found == m_active.end() ||
               std::ranges::none_of(found->second.m_plans, [&](const preemption_plan& plan)
                                    { return plan.m_worker == candidate.m_worker; });
    };
    std::vector<victim_candidate> usable_candidates;
    std::ranges::copy_if(candidates, std::back_inserter(usable_candidates), usable);
    auto plan = plan_preemption(spec, placements, usable_candidates);
    if (!plan)
        return {};
    placements.hold(spec.m_id, plan->m_worker, spec.m_size);
    auto& active = m_active[task];
    active.m_spec = spec;
    active.m_last_plan_at = now;
    active.m_plans.push_back(std::move(*plan));
    return active.m_plans.back().m_victims;
}

std::optional<worker_id> preemptor::try_place(const task_key& task, engine& placements)
{
    const auto found = m_active.find(task);
    if (found == m_active.end())
        return std::nullopt;
    const auto spec = found->second.m_spec;
    for (const auto& plan : found->second.m_plans)
    {
        if (!placements.place_on(spec, plan.m_worker))
            continue;
        const auto worker = plan.m_worker;
        std::erase_if(found->second.m_plans,
                      [&](const preemption_plan& each) { return each.m_worker == worker; });
        cancel(task, placements);
        return worker;
    }
    return std::nullopt;
}

void preemptor::cancel(const task_key& task, engine& placements)
{
    const auto found = m_active.find(task);
    if (found == m_active.end())
        return;
    for (const auto& plan : found->second.m_plans)
        placements.drop_hold(found->second.m_spec.m_id, plan.m_worker);
    m_active.erase(found);
}

bool preemptor::needs_plan(const task_key& task, instant now) const
{
    const auto found = m_active.find(task);
    if (found == m_active.end())
        return true;
    const auto plans = static_cast<int>(found->second.m_plans.size());
    return plans < m_options.m_max_plans &&
           now - found->second.m_last_plan_at >= m_options.m_confirm_timeout;
}

bool preemptor::is_victim(const task_id& task) const
{
    return std::ranges::any_of(m_active,
                               [&](const auto& entry)
                               {
                                   return std::ranges::any_of(
                                       entry.second.m_plans,
                                       [&](const preemption_plan& plan)
                                       {
                                           return std::ranges::any_of(
                                               plan.m_victims, [&](const victim_candidate& victim)
                                               { return victim.m_task == task; });
                                       });
                               });
}

} // namespace dragonflygap::placement
