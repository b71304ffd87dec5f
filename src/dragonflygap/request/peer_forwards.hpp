#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

struct peer_forwards_options
{
    /// Sends a message to a peer. If it can't be sent, on_not_sent must be called.
    std::function<void(vm_id peer, cluster::body body)> m_to_peer;
    std::function<void(const request_id& id, http_response answer)> m_on_answered;
    std::function<void(const request_id& id, failure error)> m_on_failed;
};

/// The requests that this entry VM has forwarded to peers.
class forwarded_requests
{
public:
    forwarded_requests(event_loop& loop, peer_forwards_options options);

    void send(const pending_request& request, const std::string& body, const vm_id& peer);

    /// Sends a cancellation to the peer. Returns false if the request isn't forwarded.
    bool cancel(const request_id& id);

    void on_answer(const vm_id& from, cluster::forwarded_answer answer);

    /// The call was definitely not sent.
    void on_not_sent(std::uint64_t call);

    /// The peer's process has ended; the requests forwarded to it may have run.
    void on_peer_lost(const vm_id& peer);

    /// Records the peer's current incarnation; calls to an older one are lost.
    void on_peer_incarnation(const vm_id& peer, std::uint64_t incarnation);

private:
    struct forwarded
    {
        request_id m_id;
        vm_id m_peer;
        event_loop::timer_ptr m_timer;
    };

    void fail_call(std::uint64_t call, failure error);

    event_loop& m_loop;
    peer_forwards_options m_options;
    std::uint64_t m_last_call = 0;
    std::map<std::uint64_t, forwarded> m_calls;
    std::unordered_map<request_id, std::uint64_t> m_call_by_request;
    std::map<vm_id, std::uint64_t> m_incarnations;
};

/// The calls received from peers; detects duplicates.
class received_calls
{
public:
    /// Returns false for a duplicate call or one from an earlier incarnation of the peer.
    bool admit(const vm_id& from, std::uint64_t incarnation, std::uint64_t call,
               const request_id& id);

    /// The request id of an unanswered call.
    std::optional<request_id> request_of(const vm_id& from, std::uint64_t call) const;

    /// Call when a call has been answered.
    void mark_answered(const vm_id& from, std::uint64_t call);

private:
    struct peer_calls
    {
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_evicted_up_to = 0; ///< Calls up to this one count as duplicates.
        std::set<std::uint64_t> m_recent_calls;
        std::map<std::uint64_t, request_id> m_unanswered;
    };

    std::map<vm_id, peer_calls> m_peers;
};

cluster::forwarded_answer make_forwarded_answer(std::uint64_t call,
                                                const outcome<http_response>& answer);

} // namespace dragonflygap::request
