#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace dragonflygap
{

/// Whether a request, or a call to an outside system, may have taken effect.
enum class verdict
{
    not_run,      ///< Certainly had no effect; may be sent again.
    ran,          ///< Certainly took effect.
    may_have_run, ///< Sent, and the result is unknown; only safe to repeat if idempotent.
};

/// Why a request or a call failed. The names are part of the API and of the metrics.
enum class reason
{
    bad_request,
    body_too_large,
    unknown_class,
    deadline_passed,
    deadline_unreachable,
    queue_full,
    caller_over_share,
    quota_exceeded,
    no_target,
    target_unreachable,
    target_refused,
    target_silent,
    target_failed,
    answer_too_large,
    cancelled,
    key_in_use,
    key_unresolved,
    draining,
    not_owner,
    stale_epoch,
    conflict,
    never_fits,
    no_room,
    platform_unavailable,
    timeout,
    not_found,
    internal,
};

/// A failed request or call: what it did, why it failed, and a text for people.
struct failure
{
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::internal;
    std::string m_detail;
};

template <class T>
using outcome = tl::expected<T, failure>;

/// Wire and log name of a verdict: not_run, ran, may_have_run.
std::string_view to_string(verdict value);

/// Wire, log and metric name of a reason, the same as the enumerator.
std::string_view to_string(reason value);

/// Reads what to_string wrote; unknown names become may_have_run, the cautious answer.
verdict verdict_from_string(std::string_view name);

/// Reads what to_string wrote; unknown names become internal.
reason reason_from_string(std::string_view name);

/// HTTP status that reports a failure to a caller.
int http_status(reason value);

/// Shorthand for returning a failure from a function that gives an outcome.
tl::unexpected<failure> fail(verdict value, reason why, std::string detail);

} // namespace dragonflygap
