#include "dragonflygap/core/verdict.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dragonflygap
{

namespace
{

struct reason_entry
{
    reason m_reason;
    std::string_view m_name;
    int m_status;
};

constexpr std::array reason_entries{
    reason_entry{reason::bad_request, "bad_request", 400},
    reason_entry{reason::body_too_large, "body_too_large", 413},
    reason_entry{reason::unknown_class, "unknown_class", 404},
    reason_entry{reason::deadline_passed, "deadline_passed", 504},
    reason_entry{reason::deadline_unreachable, "deadline_unreachable", 503},
    reason_entry{reason::queue_full, "queue_full", 503},
    reason_entry{reason::caller_over_share, "caller_over_share", 429},
    reason_entry{reason::quota_exceeded, "quota_exceeded", 429},
    reason_entry{reason::no_target, "no_target", 503},
    reason_entry{reason::target_unreachable, "target_unreachable", 502},
    reason_entry{reason::target_refused, "target_refused", 502},
    reason_entry{reason::target_silent, "target_silent", 504},
    reason_entry{reason::target_failed, "target_failed", 502},
    reason_entry{reason::answer_too_large, "answer_too_large", 502},
    reason_entry{reason::cancelled, "cancelled", 499},
    reason_entry{reason::key_in_use, "key_in_use", 409},
    reason_entry{reason::key_unresolved, "key_unresolved", 409},
    reason_entry{reason::draining, "draining", 503},
    reason_entry{reason::overloaded, "overloaded", 503},
    reason_entry{reason::not_owner, "not_owner", 503},
    reason_entry{reason::stale_epoch, "stale_epoch", 409},
    reason_entry{reason::conflict, "conflict", 409},
    reason_entry{reason::never_fits, "never_fits", 422},
    reason_entry{reason::no_room, "no_room", 507},
    reason_entry{reason::platform_unavailable, "platform_unavailable", 503},
    reason_entry{reason::timeout, "timeout", 504},
    reason_entry{reason::not_found, "not_found", 404},
    reason_entry{reason::internal, "internal", 500},
};

const reason_entry& entry_of(reason value)
{
    const auto* found = std::ranges::find(reason_entries, value, &reason_entry::m_reason);
    return found == reason_entries.end() ? reason_entries.back() : *found;
}

} // namespace

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        break;
    }
    return "may_have_run";
}

std::string_view to_string(reason value)
{
    return entry_of(value).m_name;
}

verdict verdict_from_string(std::string_view name)
{
    if (name == "not_run")
        return verdict::not_run;
    if (name == "ran")
        return verdict::ran;
    return verdict::may_have_run;
}

reason reason_from_string(std::string_view name)
{
    const auto* found = std::ranges::find(reason_entries, name, &reason_entry::m_name);
    return found == reason_entries.end() ? reason::internal : found->m_reason;
}

int http_status(reason value)
{
    return entry_of(value).m_status;
}

tl::unexpected<failure> fail(verdict value, reason cause, std::string detail)
{
    return tl::make_unexpected(failure{value, cause, std::move(detail)});
}

} // namespace dragonflygap
