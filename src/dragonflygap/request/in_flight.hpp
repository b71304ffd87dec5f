#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/request/answer_cache.hpp"
#include "dragonflygap/request/key_claims.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

using answer_hook = std::function<void(const outcome<http_response>&)>;

/// On answers that were kept from an earlier request with the same key.
inline constexpr std::string_view replay_header = "X-Dragonflygap-Replayed";

enum class claim_progress
{
    none,
    asked,
    granted,
};

/// One caller, or peer, that waits for a request's answer.
struct waiter
{
    std::uint64_t m_number = 0;
    answer_hook m_answer;
};

/// A request that this entry VM has accepted and not answered yet.
struct in_flight_request
{
    pending_request m_request;
    std::string m_body;
    std::string m_row_key;     ///< Of its claim; empty without a key.
    std::string m_fingerprint; ///< Of its class and body; empty without a key.
    claim_progress m_claim = claim_progress::none;
    std::optional<http_response> m_target_error; ///< The last attempt's answer, if it was an error.
    std::vector<waiter> m_waiters;
};

/// The requests in flight, found by id or by key, and answers kept for keys that come again.
class in_flight_requests
{
public:
    /// Returns the number of the waiter.
    std::uint64_t add(in_flight_request request, answer_hook answer);

    /// One more waits for the same answer; returns the number of the waiter.
    std::uint64_t attach(const request_id& id, answer_hook answer);

    /// A waiter left; true if it was the last one.
    bool detach(const request_id& id, std::uint64_t number);

    in_flight_request* find(const request_id& id);
    const in_flight_request* with_key(const std::string& row_key) const;
    std::optional<in_flight_request> take(const request_id& id);

    /// The request of the id if it is the caller's, or all of the caller's if the id is empty.
    std::vector<request_id> of_caller(const caller_id& caller, const request_id& id) const;

    bool empty() const { return m_requests.empty(); }

    /// Keeps the answer of an idempotent request with a key; others have their claim's row.
    void keep_answer(const in_flight_request& ended, const outcome<http_response>& answer);

    const answer_cache::entry* kept(const std::string& row_key) const;

private:
    static constexpr std::size_t max_kept = 1000;
    static constexpr std::size_t max_kept_bytes = 4096;

    std::unordered_map<request_id, in_flight_request> m_requests;
    std::unordered_map<std::string, request_id> m_by_key;
    answer_cache m_kept{max_kept, max_kept_bytes};
    std::uint64_t m_last_waiter = 0;
};

/// What the claim's row is told of a request's end.
claim_ended claim_end_of(const request_id& id, const outcome<http_response>& answer);

/// The answer that a kept one stands for.
http_response replayed(const kept_answer& kept);

} // namespace dragonflygap::request
