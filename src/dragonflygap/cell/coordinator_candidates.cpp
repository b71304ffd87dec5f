#include <cstdlib>
#include <algorithm>
#include <array>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"

/// The workers that an approval call names.
namespace dragonflygap::cell
{

// Names workers until enough tasks of the step are expected to fit on approved ones. On a worker
// without room some will have ended by the time of the answer, if these are to be counted. Where
// speed matters, such a worker comes after those of all classes that have room.
coordinator::unknown_workers coordinator::name_unknown(const job_state& job, const step_key& key,
                                                       const approval_draft& draft,
                                                       bool count_full) const
{
    constexpr double wanted_factor = 1.5;
    constexpr double wanted_extra = 2;
    constexpr double full_worker_tasks = 0.5;
    static const double other_classes_factor = getenv("BF")?atof(getenv("BF")):0.5;
    const auto& spec = job.spec(key.m_step);
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const auto size = size_of(spec);
    const double rate = approval_rate(job.record().m_queue.m_name);
    double wanted_tasks = wanted_factor * step.m_waiting + wanted_extra;
    const auto could_hold = [&](const worker_state& worker)
    { return suits(worker, job, spec) && size.fits_in(worker.m_info.m_capacity); };
    const double least = count_full ? full_worker_tasks : 0;
    unknown_workers result;
    for (const auto number : step.m_approval.approved())
    {
        const auto& worker = m_index.at(number);
        if (!worker.m_pass.m_open || !could_hold(worker) || holds_earlier_run(worker, job, key))
            continue;
        const int fits = worker.m_pass.m_closed && !m_claims.has_firm_claim(key, number)
                             ? 0
                             : std::min(fit_count(size, worker.free_for_others()),
                                        max_tasks_on(worker, spec, key));
        result.m_expected_tasks += std::max<double>(fits, least);
    }
    const auto call_is_full = [&]
    { return draft.m_workers.size() + result.m_named.size() >= draft.m_max_workers; };
    const auto is_enough = [&]
    { return result.m_expected_tasks >= wanted_tasks || (call_is_full() && !spec.m_gang); };
    const auto name = [&](worker_number number, int fits)
    {
        result.m_expected_tasks += rate * std::max<double>(fits, least);
        // Later calls can name the others.
        if (call_is_full())
            return;
        result.m_named.push_back(number);
        if (fits > 0)
            result.m_tentative.push_back({number, fits});
    };
    const auto is_candidate = [&](worker_number number)
    { return !step.m_approval.is_known(number) && could_hold(m_index.at(number)); };
    const bool waits_if_full = m_speed_order.matters();
    std::vector<worker_number> full;
    const auto fits_on = [&](worker_number number)
    {
        const auto& worker = m_index.at(number);
        auto free = worker.free_for_others();
        free.m_millicores = worker.expected_free_millicores();
        return worker.m_pass.m_closed
                   ? 0
                   : std::min(fit_count(size, free), max_tasks_on(worker, spec, key));
    };
    std::array<worker_index::room_order::const_iterator, speed_class_count> rest;
    const auto& service = job.record().m_queue.m_service;
    bool extended = !m_speed_order.matters();
    for (std::size_t i = 0; i < rest.size(); ++i)
    {
        const auto& workers = m_index.open_workers(service, m_speed_order.classes()[i]);
        if (is_enough() && !extended)
        {
            // Others want these workers too, so some of their room will be gone by the answer.
            extended = true;
            wanted_tasks = result.m_expected_tasks + other_classes_factor * step.m_waiting;
        }
        // The rest of the class have even fewer millicores.
        for (rest[i] = workers.begin();
             rest[i] != workers.end() && -rest[i]->first >= size.m_millicores; ++rest[i])
        {
            if (is_enough())
                break;
            const auto number = rest[i]->second;
            if (!is_candidate(number))
                continue;
            if (const int fits = fits_on(number); fits > 0 || (count_full && !waits_if_full))
                name(number, fits);
            else if (count_full)
                full.push_back(number);
        }
    }
    if (!count_full || is_enough())
        return result;
    for (const auto number : full)
        if (!is_enough())
            name(number, 0);
    for (std::size_t i = 0; i < rest.size(); ++i)
    {
        const auto& workers = m_index.open_workers(service, m_speed_order.classes()[i]);
        for (; rest[i] != workers.end() && !is_enough(); ++rest[i])
            if (is_candidate(rest[i]->second))
                name(rest[i]->second, fits_on(rest[i]->second));
    }
    return result;
}

} // namespace dragonflygap::cell
