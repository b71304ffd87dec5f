#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"

namespace dragonflygap::request
{

/// Time that all entry VMs share, good to a few minutes: expiry of claims only.
using wall_time = std::chrono::sys_seconds;

inline constexpr std::string_view claim_prefix = "keys/";

enum class claim_state
{
    claimed,      ///< The holder may dispatch the request; it may be running.
    ran,          ///< Answered; the answer is kept if it was small.
    may_have_run, ///< The holder does not know what became of it.
};

/// An answer that is given again when its key comes again.
struct kept_answer
{
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;

    bool operator==(const kept_answer&) const = default;
};

/// The row of the platform's table that stands for one idempotency key of one caller.
struct key_claim
{
    request_id m_request;
    vm_id m_vm; ///< The entry VM that holds the claim.
    std::uint64_t m_incarnation = 0;
    std::string m_fingerprint;
    claim_state m_state = claim_state::claimed;
    wall_time m_expires{};
    std::optional<kept_answer> m_answer;

    bool operator==(const key_claim&) const = default;
};

/// Key of the row for a caller's idempotency key.
std::string claim_row_key(const caller_id& caller, const idempotency_key& key);

/// Tells requests with different classes or bodies apart.
std::string request_fingerprint(const class_id& class_name, std::string_view body);

std::string encode_claim(const key_claim& claim);

/// Nothing if the text is no claim.
std::optional<key_claim> decode_claim(std::string_view text);

} // namespace dragonflygap::request
