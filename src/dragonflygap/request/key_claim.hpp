#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"

namespace dragonflygap::request
{

/// Wall-clock time, which differs by up to a few minutes between entry VMs; used only to expire
/// claims.
using wall_time = std::chrono::sys_seconds;

inline constexpr std::string_view claim_prefix = "keys/";

enum class claim_state
{
    claimed,      ///< The holder may dispatch the request; it may be running.
    ran,          ///< Answered; the answer is stored unless it is too large.
    may_have_run, ///< The outcome is unknown to the holder.
};

/// An answer stored to be repeated for later requests with the same key.
struct stored_answer
{
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;

    bool operator==(const stored_answer&) const = default;
};

/// A row in the platform's table that claims an idempotency key of a caller.
struct key_claim
{
    request_id m_request;
    vm_id m_vm; ///< The entry VM that holds the claim.
    std::uint64_t m_incarnation = 0;
    std::string m_fingerprint;
    claim_state m_state = claim_state::claimed;
    wall_time m_expires{};
    std::optional<stored_answer> m_answer;

    bool operator==(const key_claim&) const = default;
};

/// The row key for a caller's idempotency key.
std::string claim_row_key(const caller_id& caller, const idempotency_key& key);

/// A hash of the class and body; detects a key that is reused for a different request.
std::string request_fingerprint(const class_id& class_name, std::string_view body);

std::string encode_claim(const key_claim& claim);

/// Returns nothing if the text isn't a valid claim.
std::optional<key_claim> decode_claim(std::string_view text);

} // namespace dragonflygap::request
