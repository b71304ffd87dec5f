#include "dragonflygap/request/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::request
{

scheduler::scheduler(scheduler_options options) : m_options(options) {}

std::vector<scheduler_action> scheduler::handle(const scheduler_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& what) { on(what, now, out); }, event);
    dispatch_waiting(now, out);
    return out;
}

void scheduler::refuse(const request_id& id, reason why, const char* detail, actions& out)
{
    out.emplace_back(refuse_request{id, {verdict::not_run, why, detail}});
}

void scheduler::on(const request_submitted& event, instant now, actions& out)
{
    const auto& request = event.m_request;
    const auto found = m_queues.find(request.m_class);
    if (m_draining)
        return refuse(request.m_id, reason::draining, "this entry VM is leaving", out);
    if (found == m_queues.end())
        return refuse(request.m_id, reason::unknown_class, "no class of this name", out);
    if (request.m_deadline <= now)
        return refuse(request.m_id, reason::deadline_passed, "the deadline has passed", out);
    auto& queue = found->second;
    request_state state{request, {}, {}};
    if (free_slots() == 0 && forward(state, now, out))
    {
        m_requests[request.m_id] = std::move(state);
        return;
    }
    if (queue.m_waiting.size() >= queue.m_class.m_max_queued)
        return refuse(request.m_id, reason::queue_full, "the queue of the class is full", out);
    if (m_targets.empty())
        return refuse(request.m_id, reason::no_target, "no executor is owned here", out);
    m_requests[request.m_id] = std::move(state);
    queue.m_waiting.push_back(request.m_id);
}

void scheduler::free_slot(const target_id& target)
{
    if (const auto found = m_targets.find(target); found != m_targets.end())
        --found->second.m_running;
}

void scheduler::on(const request_ended& event, instant /*now*/, actions& out)
{
    const auto found = m_requests.find(event.m_id);
    if (found == m_requests.end())
        return;
    const auto& ended = found->second;
    const bool dispatched = !ended.m_target.empty();
    if (dispatched && event.m_slot_free)
        free_slot(ended.m_target);
    if (dispatched && !event.m_slot_free)
        m_occupied[event.m_id] = ended.m_target;
    const auto queue = m_queues.find(ended.m_request.m_class);
    if (dispatched && queue != m_queues.end())
        --queue->second.m_running;
    if (!event.m_outcome && !ended.m_aborted)
        out.emplace_back(fail_request{event.m_id, event.m_outcome.error()});
    m_requests.erase(found);
}

void scheduler::on(const slot_freed& event, instant /*now*/, actions& /*out*/)
{
    const auto node = m_occupied.extract(event.m_id);
    if (!node.empty())
        free_slot(node.mapped());
}

void scheduler::on(const forward_failed& event, instant /*now*/, actions& out)
{
    const auto found = m_requests.find(event.m_id);
    if (found == m_requests.end() || found->second.m_peer.empty())
        return;
    auto& request = found->second;
    request.m_peer = {};
    const auto queue = m_queues.find(request.m_request.m_class);
    const bool again = !request.m_aborted && event.m_failure.m_verdict == verdict::not_run &&
                       queue != m_queues.end() && !m_targets.empty();
    if (again)
    {
        queue->second.m_waiting.push_back(event.m_id);
        return;
    }
    if (!request.m_aborted)
        out.emplace_back(fail_request{event.m_id, event.m_failure});
    m_requests.erase(found);
}

void scheduler::on(const drain_started& /*event*/, instant now, actions& out)
{
    m_draining = true;
    for (auto& [name, queue] : m_queues)
        std::erase_if(queue.m_waiting,
                      [&](const request_id& id)
                      {
                          const auto found = m_requests.find(id);
                          return found == m_requests.end() || forward(found->second, now, out);
                      });
}

void scheduler::on(const request_cancelled& event, instant /*now*/, actions& out)
{
    const auto found = m_requests.find(event.m_id);
    if (found == m_requests.end() || found->second.m_aborted)
        return;
    auto& cancelled = found->second;
    if (!cancelled.m_target.empty() || !cancelled.m_peer.empty())
    {
        cancelled.m_aborted = true;
        out.emplace_back(abort_request{event.m_id});
        return;
    }
    // Its place in the queue is dropped when it comes to the front.
    refuse(event.m_id, reason::cancelled, "the caller left", out);
    m_requests.erase(found);
}

void scheduler::on(const targets_changed& event, instant /*now*/, actions& /*out*/)
{
    std::map<target_id, target_state> next;
    for (const auto& item : event.m_targets)
    {
        auto& state = next[item.m_id];
        state.m_target = item;
        if (const auto old = m_targets.find(item.m_id); old != m_targets.end())
            state.m_running = old->second.m_running;
    }
    m_targets = std::move(next);
}

void scheduler::on(const classes_changed& event, instant /*now*/, actions& out)
{
    std::unordered_map<class_id, class_queue> next;
    m_by_urgency.clear();
    for (const auto& item : event.m_classes)
    {
        auto node = m_queues.extract(item.m_name);
        auto& queue = next[item.m_name];
        if (!node.empty())
            queue = std::move(node.mapped());
        queue.m_class = item;
        m_by_urgency[item.m_urgency].push_back(item.m_name);
    }
    for (auto& [name, queue] : m_queues)
        for (const auto& id : queue.m_waiting)
            if (m_requests.erase(id) != 0)
                refuse(id, reason::unknown_class, "the class was removed", out);
    m_queues = std::move(next);
}

void scheduler::on(const peers_changed& event, instant /*now*/, actions& /*out*/)
{
    m_peers = event.m_peers;
}

void scheduler::on(const scheduler_tick& /*event*/, instant now, actions& out)
{
    for (auto& [name, queue] : m_queues)
        std::erase_if(queue.m_waiting,
                      [&](const request_id& id)
                      {
                          const auto found = m_requests.find(id);
                          if (found == m_requests.end())
                              return true;
                          if (found->second.m_request.m_deadline > now)
                              return false;
                          refuse(id, reason::deadline_passed, "the deadline passed in the queue",
                                 out);
                          m_requests.erase(found);
                          return true;
                      });
}

void scheduler::dispatch_waiting(instant now, actions& out)
{
    for (auto& [urgency, names] : m_by_urgency)
        for (const auto& name : names)
            while (dispatch_one(m_queues[name], now, out))
            {
            }
}

bool scheduler::dispatch_one(class_queue& queue, instant now, actions& out)
{
    if (queue.m_waiting.empty())
        return false;
    const int limit = std::max(1, static_cast<int>(queue.m_class.m_slot_share * slots()));
    if (queue.m_running >= limit)
        return false;
    auto* chosen = freest_target();
    if (chosen == nullptr)
        return false;
    const request_id id = queue.m_waiting.front();
    queue.m_waiting.pop_front();
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return true;
    if (found->second.m_request.m_deadline <= now)
    {
        refuse(id, reason::deadline_passed, "the deadline passed in the queue", out);
        m_requests.erase(found);
        return true;
    }
    ++queue.m_running;
    ++chosen->m_running;
    found->second.m_target = chosen->m_target.m_id;
    out.emplace_back(dispatch_request{id, chosen->m_target.m_id, chosen->m_target.m_address,
                                      found->second.m_request.m_deadline,
                                      ++found->second.m_attempts});
    return true;
}

bool scheduler::forward(request_state& request, instant now, actions& out)
{
    if (request.m_forwarded)
        return false;
    auto* peer = peer_with_room(request.m_request, now);
    if (peer == nullptr)
        return false;
    --peer->m_free_slots;
    request.m_forwarded = true;
    request.m_peer = peer->m_vm;
    out.emplace_back(forward_request{request.m_request.m_id, peer->m_vm});
    return true;
}

scheduler::target_state* scheduler::freest_target()
{
    target_state* best = nullptr;
    int most = 0;
    for (auto& [id, state] : m_targets)
    {
        const int free = state.m_target.m_leaving ? 0 : state.m_target.m_slots - state.m_running;
        if (free <= most)
            continue;
        most = free;
        best = &state;
    }
    return best;
}

peer_room* scheduler::peer_with_room(const pending_request& request, instant now)
{
    if (request.m_hops >= m_options.m_max_hops)
        return nullptr;
    peer_room* best = nullptr;
    for (auto& peer : m_peers)
    {
        if (now - peer.m_heard > m_options.m_peer_fresh || peer.m_free_slots == 0)
            continue;
        if (best == nullptr || peer.m_free_slots > best->m_free_slots)
            best = &peer;
    }
    return best;
}

int scheduler::slots() const
{
    int sum = 0;
    for (const auto& [id, state] : m_targets)
        sum += state.m_target.m_slots;
    return sum;
}

int scheduler::free_slots() const
{
    int sum = 0;
    for (const auto& [id, state] : m_targets)
        if (!state.m_target.m_leaving)
            sum += std::max(0, state.m_target.m_slots - state.m_running);
    return sum;
}

cluster::load_digest scheduler::load(instant now) const
{
    cluster::load_digest digest{.m_slots = static_cast<std::uint32_t>(slots()),
                                .m_free_slots = static_cast<std::uint32_t>(free_slots())};
    for (const auto& [name, queue] : m_queues)
    {
        digest.m_classes.push_back({name, static_cast<std::uint32_t>(queue.m_waiting.size()),
                                    static_cast<std::uint32_t>(queue.m_running)});
        if (queue.m_waiting.empty())
            continue;
        const auto oldest = m_requests.find(queue.m_waiting.front());
        if (oldest == m_requests.end())
            continue;
        const auto wait =
            static_cast<std::uint32_t>(to_ms(now - oldest->second.m_request.m_arrived));
        digest.m_oldest_wait_ms = std::max(digest.m_oldest_wait_ms, wait);
    }
    return digest;
}

} // namespace dragonflygap::request
