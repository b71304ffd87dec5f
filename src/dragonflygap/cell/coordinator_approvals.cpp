#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

constexpr std::size_t max_named = 100; // Limit of the service.
constexpr double spare_share = 0.2;    // Some capacity is used before the answer arrives.
constexpr int min_spare = 2;

duration service_time(const approval_cost& cost, std::size_t workers)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
        cost.m_decision_ms + cost.m_per_worker_ms * static_cast<double>(workers)));
}

// By the time a call that waited long at a VM is answered, the capacity it was made for is in use.
// So calls are held back here, where the first step by rank gets the next free VM.
constexpr duration max_wait = 100ms; // Long enough for a VM to have its next call when one is done.

} // namespace

// False if the step has to wait until other calls are served.
bool coordinator::vm_is_free(duration call_time)
{
    if (m_approval_window.full())
        return false;
    const auto [known, added] = m_free_vms.try_emplace(m_approval_balancer.vm_count(call_time));
    if (added)
        known->second = m_approval_balancer.choose(call_time, max_wait, m_now).has_value();
    return known->second;
}

// A part of a gang is of no use, and tickets lapse, so a gang names all workers that it needs at
// the same time. It leaves half of the VMs and of the window to others.
std::size_t coordinator::max_calls(const step_spec& spec, duration call_time) const
{
    if (!spec.m_gang)
        return 1;
    const auto unused = m_approval_window.size() - m_approval_window.in_flight();
    const auto vms = m_approval_balancer.vm_count(call_time);
    return std::max<std::size_t>(1, std::min(vms, unused) / 2);
}

// Requests tickets for places that were found, or approval of workers for which it is unknown.
// False if there is no worker to name in a call.
bool coordinator::request_step_approval(ready_step& ready)
{
    const auto& job = *ready.m_job;
    const auto& key = ready.m_rank.m_step;
    auto& step = *ready.m_state;
    const auto& cost = job.record().m_queue.m_approval;
    const auto min_cost = service_time(cost, 1);
    if (!vm_is_free(min_cost))
    {
        ready.m_wanted_call = min_cost;
        step.m_approval_pause = approval_pause::vms_busy;
        return true;
    }
    const auto longest_call = service_time(cost, max_named);
    const auto first_free = m_approval_balancer.choose(min_cost, max_wait, m_now);
    auto draft =
        choose_workers(job, key, m_approval_balancer.queue_delay(*first_free, m_now) + longest_call,
                       max_named * max_calls(job.spec(key.m_step), longest_call));
    step.m_approval_pause = draft.m_pause;
    if (draft.m_workers.empty())
        return false;
    step.m_approval_pause = approval_pause::none;
    const auto calls = (draft.m_workers.size() + max_named - 1) / max_named;
    const auto per_call = (draft.m_workers.size() + calls - 1) / calls;
    std::span<const worker_number> unnamed(draft.m_workers);
    while (!unnamed.empty())
    {
        const auto named = unnamed.first(std::min(per_call, unnamed.size()));
        if (!send_approval_call(ready, named))
            break;
        unnamed = unnamed.subspan(named.size());
    }
    if (unnamed.size() == draft.m_workers.size())
    {
        // Fewer VMs may serve a call for so many workers, and all of those are busy.
        ready.m_wanted_call = service_time(cost, per_call);
        step.m_approval_pause = approval_pause::vms_busy;
        return true;
    }
    std::erase_if(
        draft.m_claim.m_tentative, [unnamed](const task_places& place)
        { return std::find(unnamed.begin(), unnamed.end(), place.m_worker) != unnamed.end(); });
    m_free_vms.clear();
    if (!draft.m_claim.m_firm.empty())
        set_drained(step, {});
    draft.m_claim.m_tasks = claimed_tasks(job, key, draft.m_claim);
    m_claims.set(key, std::move(draft.m_claim));
    return true;
}

// False if no VM can make the call soon.
bool coordinator::send_approval_call(ready_step& ready, std::span<const worker_number> workers)
{
    const auto& key = ready.m_rank.m_step;
    auto& calls = ready.m_state->m_approval.m_calls;
    const auto time = service_time(ready.m_job->record().m_queue.m_approval, workers.size());
    const auto via = m_approval_balancer.choose(time, max_wait, m_now);
    // A VM drops an earlier call for the same step.
    const auto made_there = [&](std::uint64_t call)
    { return m_open_approvals.count(call) != 0 && m_open_approvals.at(call).m_via == *via; };
    if (m_approval_window.full() || !via || std::any_of(calls.begin(), calls.end(), made_there))
        return false;
    const auto expected = m_approval_balancer.queue_delay(*via, m_now) + time;
    const auto call = ++m_last_approval_call;
    m_approval_balancer.record_call(call, *via, time, m_now);
    m_approval_window.sent();
    ++m_counts.m_calls.m_sent;
    m_open_approvals[call] = {
        .m_via = *via, .m_step = key, .m_sent_at = m_now, .m_cost = time, .m_expected = expected};
    calls.push_back(call);
    log_event(log_level::info, "approval_asked",
              {{"job", key.m_job.m_value},
               {"step", key.m_step},
               {"call", call},
               {"through", via->m_value},
               {"workers", workers.size()},
               {"expected_ms", to_ms(expected)}});
    std::vector<worker_id> named;
    named.reserve(workers.size());
    for (const auto number : workers)
        named.push_back(m_index.at(number).m_info.m_id);
    m_actions->push_back(request_approval{.m_call = call,
                                          .m_via = *via,
                                          .m_step = key,
                                          .m_workers = std::move(named),
                                          .m_cost = time,
                                          .m_expected = expected,
                                          .m_timeout = expected + m_approval_delay.timeout()});
    return true;
}

// A gang requests tickets once places for all its tasks are found; earlier calls only find out
// which workers are approved. Other steps do both in one call.
coordinator::approval_draft coordinator::choose_workers(const job_state& job, const step_key& key,
                                                        duration until_answer,
                                                        std::size_t max_workers)
{
    const auto& spec = job.spec(key.m_step);
    approval_draft draft{.m_max_workers = max_workers,
                         .m_claim = {.m_priority = job.record().m_queue.m_priority,
                                     .m_size = size_of(spec),
                                     .m_customer = job.m_customer}};
    draft.m_claim.m_firm = find_places(job, key, ticket_need::known, plan_order::best_fit);
    if (spec.m_gang && draft.m_claim.m_firm.size() + min_spare > max_workers)
        draft.m_claim.m_firm =
            find_places(job, key, ticket_need::known, plan_order::fewest_workers);
    choose_approved(job, key, until_answer, draft);
    if (task_count(draft.m_claim.m_firm) < startable(job, key))
        choose_unknown(job, key, draft);
    return draft;
}

// Adds the workers of the places that were found, and some spare ones with free capacity.
void coordinator::choose_approved(const job_state& job, const step_key& key, duration until_answer,
                                  approval_draft& draft)
{
    const auto& spec = job.spec(key.m_step);
    const auto& approval = job.step(key.m_occurrence, key.m_step).m_approval;
    const auto firm_count = task_count(draft.m_claim.m_firm);
    if (firm_count == 0)
        return;
    std::set<worker_number> has_places;
    for (const auto& place : draft.m_claim.m_firm)
    {
        has_places.insert(place.m_worker);
        if (approval.find_valid_ticket(place.m_worker, m_now + until_answer) == nullptr &&
            draft.m_workers.size() < draft.m_max_workers)
            draft.m_workers.push_back(place.m_worker);
    }
    int spare = min_spare + static_cast<int>(spare_share * firm_count);
    for (const worker_state* worker : eligible_workers(job, key, ticket_need::known))
    {
        const auto number = worker->m_number;
        if (spare <= 0 || draft.m_workers.size() >= draft.m_max_workers)
            break;
        const int fits = std::min(fit_count(size_of(spec), worker->free_for_others()),
                                  max_tasks_on(*worker, spec, key));
        if (fits == 0 || has_places.count(number) != 0 ||
            approval.find_valid_ticket(number, m_now + until_answer) != nullptr)
            continue;
        spare -= fits;
        draft.m_workers.push_back(number);
    }
}

// Many steps request approvals at the same time. Tentative claims make each one choose workers that
// the others haven't chosen; otherwise all would get tickets for the same workers.
void coordinator::choose_unknown(const job_state& job, const step_key& key, approval_draft& draft)
{
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const bool first = step.m_approval.no_answer();
    const bool gang = job.spec(key.m_step).m_gang;
    auto chosen = name_unknown(job, key, draft, first);
    if (gang && !first && chosen.m_expected_tasks < step.m_waiting)
    {
        // No answer can bring the places now. The gang waits for tasks to end on the workers that
        // it holds, or gets to know more workers on which some will end.
        if (!step.m_drained.empty())
        {
            draft.m_pause = approval_pause::drains_workers;
            return;
        }
        chosen = name_unknown(job, key, draft, true);
    }
    draft.m_claim.m_approval_rate = approval_rate(job.record().m_queue.m_name);
    draft.m_claim.m_tentative = std::move(chosen.m_tentative);
    draft.m_workers.insert(draft.m_workers.end(), chosen.m_named.begin(), chosen.m_named.end());
}

// Names workers until enough tasks of the step are expected to fit on approved ones. On a worker
// without room some will have ended by the time of the answer, if these are to be counted.
coordinator::unknown_workers coordinator::name_unknown(const job_state& job, const step_key& key,
                                                       const approval_draft& draft,
                                                       bool count_full) const
{
    constexpr double wanted_factor = 1.5;
    constexpr double wanted_extra = 2;
    constexpr double full_worker_tasks = 0.5;
    const auto& spec = job.spec(key.m_step);
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const auto size = size_of(spec);
    const double rate = approval_rate(job.record().m_queue.m_name);
    const double wanted_tasks = wanted_factor * startable(job, key) + wanted_extra;
    const auto could_hold = [&](const worker_state& worker)
    { return suits(worker, job, spec) && size.fits_in(worker.m_info.m_capacity); };
    const double least = count_full ? full_worker_tasks : 0;
    const bool passes_over = passes_over_suspected(job, key);
    unknown_workers result;
    for (const auto number : step.m_approval.approved())
    {
        const auto& worker = m_index.at(number);
        if (!worker.m_pass.m_open || !could_hold(worker) || holds_earlier_run(worker, job, key) ||
            (passes_over && is_suspected(worker)))
            continue;
        const int fits = worker.m_pass.m_closed && !m_claims.has_firm_claim(key, number)
                             ? 0
                             : std::min(fit_count(size, worker.free_for_others()),
                                        max_tasks_on(worker, spec, key));
        result.m_expected_tasks += std::max<double>(fits, least);
    }
    for (const auto& [negated_room, number] : m_index.open_workers(job.record().m_queue.m_service))
    {
        const bool call_full =
            draft.m_workers.size() + result.m_named.size() >= draft.m_max_workers;
        if (result.m_expected_tasks >= wanted_tasks || (call_full && !spec.m_gang))
            break;
        // The others have even fewer millicores.
        if (!count_full && -negated_room < size.m_millicores)
            break;
        const auto& worker = m_index.at(number);
        if (step.m_approval.is_known(number) || !could_hold(worker) ||
            (passes_over && is_suspected(worker)))
            continue;
        auto free = worker.free_for_others();
        free.m_millicores = worker.expected_free_millicores();
        const int fits = worker.m_pass.m_closed
                             ? 0
                             : std::min(fit_count(size, free), max_tasks_on(worker, spec, key));
        if (fits == 0 && !count_full)
            continue;
        result.m_expected_tasks += rate * std::max<double>(fits, least);
        // Later calls can name the others.
        if (call_full)
            continue;
        result.m_named.push_back(number);
        if (fits > 0)
            result.m_tentative.push_back({number, fits});
    }
    return result;
}

const step_approval* coordinator::approval_of(const job_state& job, const step_key& key)
{
    return job.record().m_queue.m_approval.required()
               ? &job.step(key.m_occurrence, key.m_step).m_approval
               : nullptr;
}

double coordinator::approval_rate(const queue_id& queue) const
{
    constexpr double initial_rate = 0.4;
    const auto found = m_approval_rates.find(queue);
    return found == m_approval_rates.end() ? initial_rate : found->second;
}

// Ignores workers that were already approved: such a call only renews their tickets.
void coordinator::update_approval_rate(const queue_id& queue, const step_approval& before,
                                       const approval_answered& event)
{
    constexpr double weight = 0.02; // Of one worker's result in the moving average.
    constexpr double min_rate = 0.05;
    double rate = approval_rate(queue);
    std::set<worker_id> approved_ids;
    for (const auto& ticket : event.m_result->m_tickets)
        approved_ids.insert(ticket.m_worker);
    for (const auto& id : event.m_workers)
    {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end() || !before.is_approved(worker->second.m_number))
            rate += weight * ((approved_ids.count(id) != 0 ? 1.0 : 0.0) - rate);
    }
    m_approval_rates[queue] = std::max(rate, min_rate);
}

std::optional<coordinator::open_approval> coordinator::find_open_approval(std::uint64_t call) const
{
    const auto found = m_open_approvals.find(call);
    return found == m_open_approvals.end() ? std::nullopt : std::optional(found->second);
}

// Lets other calls be sent in place of one that was answered or given up.
void coordinator::free_place(const approval_answered& event,
                             const std::optional<open_approval>& call)
{
    if (event.m_backlog_time || event.m_result)
        m_approval_balancer.answered(event.m_call, event.m_via,
                                     event.m_backlog_time.value_or(duration{}), m_now);
    else
        m_approval_balancer.set_unresponsive(event.m_call, event.m_via, m_now);
    if (!call || call->m_given_up)
        return;
    const auto delay = std::max(duration{}, m_now - call->m_sent_at - call->m_expected);
    m_approval_window.answered(delay, m_now);
    m_approval_delay.add(delay);
}

void coordinator::on(const approval_answered& event)
{
    const auto call = find_open_approval(event.m_call);
    free_place(event, call);
    record_answer(event);
    job_state* job = find(event.m_step.m_job);
    step_state* found = find_step(event.m_step);
    if (found == nullptr)
        return;
    auto& step = *found;
    auto& approved = step.m_approval;
    const bool awaited = is_awaited(event, step);
    const bool gone = is_gone(event);
    constexpr duration retry_delay = 100ms;
    if (awaited)
    {
        std::erase(approved.m_calls, event.m_call);
        step.m_next_attempt_at =
            std::max(step.m_next_attempt_at, event.m_result ? m_now : m_now + retry_delay);
    }
    m_ready.wake(rank_of(*job, event.m_step));
    if (!event.m_result)
        return;
    // A delayed leader may read the answer seconds late, even after it gave up the call. The
    // service issued the tickets no earlier than the request plus the response time, so their
    // validity counts from there, less the time that an order needs to reach the worker.
    const duration valid = std::chrono::milliseconds(event.m_result->m_valid_ms);
    const auto delivery_time = std::min<duration>(250ms, valid / 4);
    const auto expires_at =
        std::min(m_now, (call ? call->m_sent_at : m_now) + event.m_response_time) + valid -
        delivery_time;
    update_approval_rate(job->record().m_queue.m_name, approved, event);
    for (const auto& ticket : event.m_result->m_tickets)
    {
        const auto worker = m_workers.find(ticket.m_worker);
        if (worker == m_workers.end())
            continue;
        const auto number = worker->second.m_number;
        approved.approve(number);
        if (gone)
            continue;
        if (!call || expires_at <= m_now)
            ++(awaited ? m_counts.m_tickets.m_lapsed : m_counts.m_tickets.m_given_up);
        else if (approved.find_valid_ticket(number, expires_at) != nullptr)
            ++m_counts.m_tickets.m_replaced;
        else
            m_counts.m_tickets.m_replaced +=
                approved.set_ticket(number, {ticket.m_text, expires_at}) ? 1 : 0;
    }
    for (const auto& id : event.m_workers)
        if (const auto worker = m_workers.find(id); worker != m_workers.end())
            approved.deny(worker->second.m_number);
}

} // namespace dragonflygap::cell
