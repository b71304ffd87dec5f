#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace dragonflygap
{

/// Whether a request, or a call to an outside system, may have taken effect.
enum class verdict
{
    not_run,      ///< Certainly had no effect; safe to retry.
    ran,          ///< Certainly took effect.
    may_have_run, ///< Sent, result unknown; safe to retry only if idempotent.
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
    overloaded,
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

/// A failed request or call: whether it took effect, the reason, and a message for people.
struct failure
{
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::internal;
    std::string m_detail;
};

/// The value of a successful call, or its failure.
template <class T>
using outcome = tl::expected<T, failure>;

/// Name of a verdict on the wire and in logs: not_run, ran, may_have_run.
std::string_view to_string(verdict value);

/// Name of a reason on the wire, in logs and in metrics; the same as the enumerator.
std::string_view to_string(reason value);

/// Inverse of to_string(); unknown names become may_have_run, the safe assumption.
verdict verdict_from_string(std::string_view name);

/// Inverse of to_string(); unknown names become internal.
reason reason_from_string(std::string_view name);

/// HTTP status of a failure in the response to a caller.
int http_status(reason value);

/// Shorthand for returning a failure from a function that returns an outcome.
tl::unexpected<failure> fail(verdict value, reason cause, std::string detail);

} // namespace dragonflygap
