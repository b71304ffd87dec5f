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

/// Marks an answer stored for an earlier request with the same key.
inline constexpr std::string_view replay_header = "X-Dragonflygap-Replayed";

enum class claim_progress
{
    none,
    requested,
    granted,
};

/// A caller or peer waiting for the answer to a request.
struct waiter
{
    std::uint64_t m_number = 0;
    answer_hook m_answer;
};

/// A request that this entry VM has accepted but not yet answered.
struct in_flight_request
{
    pending_request m_request;
    std::string m_body;
    std::string m_row_key;     ///< Row key of its claim; empty without an idempotency key.
    std::string m_fingerprint; ///< Hash of its class and body; empty without a key.
    claim_progress m_claim = claim_progress::none;
    std::optional<http_response> m_target_error; ///< Error answer of the last attempt.
    std::vector<waiter> m_waiters;
};

/// The requests in flight, indexed by id and key, and a cache of answers for repeated keys.
class in_flight_requests
{
public:
    /// Adds a request and its first waiter; returns the number of the waiter.
    std::uint64_t add(in_flight_request request, answer_hook answer);

    /// Adds a waiter for the same answer; returns its number.
    std::uint64_t add_waiter(const request_id& id, answer_hook answer);

    /// Removes a waiter, unless it is the only one; returns true in that case.
    bool remove_waiter(const request_id& id, std::uint64_t number);

    in_flight_request* find(const request_id& id);
    const in_flight_request* find_by_key(const std::string& row_key) const;
    std::optional<in_flight_request> remove(const request_id& id);

    /// All requests of the caller if the id is empty; otherwise that request if the caller owns it.
    std::vector<request_id> ids_of_caller(const caller_id& caller, const request_id& id) const;

    bool empty() const { return m_requests.empty(); }

    /// Caches a successful answer to an idempotent request with a key. Answers to non-idempotent
    /// requests are stored in their claim's row instead.
    void cache_answer(const in_flight_request& ended, const outcome<http_response>& answer);

    const answer_cache::entry* cached_answer(const std::string& row_key) const;

private:
    static constexpr std::size_t max_cached_answers = 1000;
    static constexpr std::size_t max_cached_answer_bytes = 4096;

    std::unordered_map<request_id, in_flight_request> m_requests;
    std::unordered_map<std::string, request_id> m_by_key;
    answer_cache m_answer_cache{max_cached_answers, max_cached_answer_bytes};
    std::uint64_t m_last_waiter = 0;
};

/// Converts the answer to a request into the event that ends its claim.
claim_ended make_claim_ended(const request_id& id, const outcome<http_response>& answer);

/// Builds the response that repeats a stored answer.
http_response to_response(const stored_answer& stored);

} // namespace dragonflygap::request
