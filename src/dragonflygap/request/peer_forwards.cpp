#include "dragonflygap/request/peer_forwards.hpp"

#include <algorithm>
#include <vector>

namespace dragonflygap::request
{

namespace
{

// Allows for network latency: the peer may answer as late as the deadline.
constexpr duration answer_margin = 200ms;
// Calls from a peer arrive nearly in order, so only the newest need individual records.
constexpr std::size_t max_remembered_calls = 4096;

} // namespace

forwarded_requests::forwarded_requests(event_loop& loop, peer_forwards_options options)
    : m_loop(loop), m_options(std::move(options))
{
}

void forwarded_requests::send(const pending_request& request, const std::string& body,
                              const vm_id& peer)
{
    const auto call = ++m_last_call;
    const auto time_left = request.m_deadline - monotonic_clock::now();
    m_call_by_request[request.m_id] = call;
    m_calls[call] = {request.m_id, peer,
                     m_loop.after(time_left + answer_margin,
                                  [this, call] {
                                      fail_call(call, {verdict::may_have_run, reason::timeout,
                                                       "the peer gave no answer in time"});
                                  })};
    m_options.m_to_peer(peer, cluster::forwarded_request{.m_call = call,
                                                         .m_request = request.m_id,
                                                         .m_caller = request.m_caller,
                                                         .m_class = request.m_class,
                                                         .m_key = request.m_key,
                                                         .m_idempotent = request.m_idempotent,
                                                         .m_hops = request.m_hops + 1,
                                                         .m_deadline_ms = to_ms(time_left),
                                                         .m_body = body});
}

bool forwarded_requests::cancel(const request_id& id)
{
    const auto node = m_call_by_request.extract(id);
    if (node.empty())
        return false;
    const auto call = m_calls.extract(node.mapped());
    m_options.m_to_peer(call.mapped().m_peer, cluster::forwarded_cancel{node.mapped()});
    return true;
}

void forwarded_requests::on_answer(const vm_id& from, cluster::forwarded_answer answer)
{
    const auto found = m_calls.find(answer.m_call);
    if (found == m_calls.end() || found->second.m_peer != from)
        return;
    if (answer.m_failed)
        return fail_call(answer.m_call,
                         {answer.m_verdict, answer.m_reason, std::move(answer.m_detail)});
    const auto id = found->second.m_id;
    m_call_by_request.erase(id);
    m_calls.erase(found);
    http_response response{.m_status = answer.m_status, .m_body = std::move(answer.m_body)};
    if (!answer.m_content_type.empty())
        response.m_headers.push_back({"Content-Type", std::move(answer.m_content_type)});
    m_options.m_on_answered(id, std::move(response));
}

void forwarded_requests::fail_call(std::uint64_t call, failure error)
{
    const auto node = m_calls.extract(call);
    if (node.empty())
        return;
    m_call_by_request.erase(node.mapped().m_id);
    m_options.m_on_failed(node.mapped().m_id, std::move(error));
}

void forwarded_requests::on_not_sent(std::uint64_t call)
{
    fail_call(call, {verdict::not_run, reason::target_unreachable, "the peer can't be reached"});
}

void forwarded_requests::on_peer_lost(const vm_id& peer)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [call, item] : m_calls)
        if (item.m_peer == peer)
            lost.push_back(call);
    for (const auto call : lost)
        fail_call(call,
                  {verdict::may_have_run, reason::target_silent, "the peer's process has ended"});
}

void forwarded_requests::on_peer_incarnation(const vm_id& peer, std::uint64_t incarnation)
{
    auto& known = m_incarnations[peer];
    const bool replaced = known != 0 && incarnation > known;
    known = std::max(known, incarnation);
    if (replaced)
        on_peer_lost(peer);
}

bool received_calls::admit(const vm_id& from, std::uint64_t incarnation, std::uint64_t call,
                           const request_id& id)
{
    auto& peer = m_peers[from];
    if (incarnation < peer.m_incarnation)
        return false;
    if (incarnation > peer.m_incarnation)
        peer = {.m_incarnation = incarnation};
    if (call <= peer.m_evicted_up_to || !peer.m_recent_calls.insert(call).second)
        return false;
    if (peer.m_recent_calls.size() > max_remembered_calls)
    {
        peer.m_evicted_up_to = *peer.m_recent_calls.begin();
        peer.m_recent_calls.erase(peer.m_recent_calls.begin());
    }
    peer.m_unanswered[call] = id;
    return true;
}

std::optional<request_id> received_calls::request_of(const vm_id& from, std::uint64_t call) const
{
    const auto peer = m_peers.find(from);
    if (peer == m_peers.end())
        return std::nullopt;
    const auto found = peer->second.m_unanswered.find(call);
    if (found == peer->second.m_unanswered.end())
        return std::nullopt;
    return found->second;
}

void received_calls::mark_answered(const vm_id& from, std::uint64_t call)
{
    if (const auto peer = m_peers.find(from); peer != m_peers.end())
        peer->second.m_unanswered.erase(call);
}

cluster::forwarded_answer make_forwarded_answer(std::uint64_t call,
                                                const outcome<http_response>& answer)
{
    if (!answer)
        return {.m_call = call,
                .m_failed = true,
                .m_verdict = answer.error().m_verdict,
                .m_reason = answer.error().m_reason,
                .m_detail = answer.error().m_detail};
    return {.m_call = call,
            .m_status = answer->m_status,
            .m_content_type = std::string(answer->header("Content-Type")),
            .m_body = answer->m_body};
}

} // namespace dragonflygap::request
