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
    /// Hands a message to the peer's link; peer_forwards::not_sent reports a refusal.
    std::function<void(vm_id peer, cluster::body body)> m_to_peer;
    std::function<void(const request_id& id, http_response answer)> m_on_answered;
    std::function<void(const request_id& id, failure why)> m_on_failed;
};

/// The requests that this entry VM has handed to peers.
class forwarded_requests
{
public:
    forwarded_requests(event_loop& loop, peer_forwards_options options);

    void send(const pending_request& request, const std::string& body, const vm_id& peer);

    /// Tells the peer that nobody waits any more; false if the request isn't with a peer.
    bool cancel(const request_id& id);

    void on_answer(const vm_id& from, cluster::forwarded_answer answer);

    /// The link certainly did not send the call.
    void not_sent(std::uint64_t call);

    /// The peer's process has ended: what was handed to it may have run.
    void on_peer_lost(const vm_id& peer);

    /// Notes which process of the peer speaks; an older one's requests are lost.
    void on_peer_heard(const vm_id& peer, std::uint64_t incarnation);

private:
    struct forwarded
    {
        request_id m_id;
        vm_id m_peer;
        event_loop::timer_ptr m_timer;
    };

    void fail_call(std::uint64_t call, failure why);

    event_loop& m_loop;
    peer_forwards_options m_options;
    std::uint64_t m_last_call = 0;
    std::map<std::uint64_t, forwarded> m_calls;
    std::unordered_map<request_id, std::uint64_t> m_call_of;
    std::map<vm_id, std::uint64_t> m_incarnations;
};

/// The calls that peers have handed to this entry VM; tells new ones from repeated ones.
class received_calls
{
public:
    /// False if the call came before, or from a process of the peer that has been replaced.
    bool admit(const vm_id& from, std::uint64_t incarnation, std::uint64_t call,
               const request_id& id);

    /// The request of a call that has no answer yet.
    std::optional<request_id> request_of(const vm_id& from, std::uint64_t call) const;

    /// Forgets which request a call belongs to, once it is answered.
    void answered(const vm_id& from, std::uint64_t call);

private:
    struct peer_calls
    {
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_forgotten_up_to = 0; ///< Calls up to this one are taken for repeated.
        std::set<std::uint64_t> m_seen;
        std::map<std::uint64_t, request_id> m_open;
    };

    std::map<vm_id, peer_calls> m_peers;
};

cluster::forwarded_answer make_forwarded_answer(std::uint64_t call,
                                                const outcome<http_response>& answer);

} // namespace dragonflygap::request
