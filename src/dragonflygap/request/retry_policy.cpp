#include "dragonflygap/request/retry_policy.hpp"

#include <algorithm>

#include "dragonflygap/request/random_sequence.hpp"
#include "dragonflygap/request/target_set.hpp"

namespace dragonflygap::request
{

namespace
{

/// Whether the request may succeed at another target; an invalid request fails at every target.
bool is_retryable(reason cause)
{
    return is_target_fault(cause) || cause == reason::not_owner || cause == reason::stale_epoch;
}

} // namespace

retry_policy::retry_policy(retry_options options)
    : m_options(options), m_budget(options.m_max_budget), m_random_state(options.m_seed)
{
}

void retry_policy::on_new_request()
{
    m_budget = std::min(m_options.m_max_budget, m_budget + m_options.m_budget_per_request);
}

bool retry_policy::is_safe(const tracked_request& request, const failure& error, bool slot_free)
{
    if (!slot_free || error.m_verdict == verdict::ran)
        return false;
    if (request.m_request.m_idempotent)
        return true;
    return error.m_verdict == verdict::not_run && !request.m_may_have_run;
}

std::optional<duration> retry_policy::next(const tracked_request& request, const failure& error,
                                           bool slot_free)
{
    if (!is_safe(request, error, slot_free) || !is_retryable(error.m_reason))
        return {};
    if (request.m_attempts >= m_options.m_max_attempts || m_budget < 1)
        return {};
    m_budget -= 1;
    return backoff(request.m_attempts);
}

duration retry_policy::backoff(int attempts)
{
    constexpr int max_doublings = 20;
    const auto exponential =
        m_options.m_initial_backoff * (1LL << std::min(attempts - 1, max_doublings));
    const auto delay = std::min<duration>(exponential, m_options.m_max_backoff);
    // Half of the delay is fixed, so that no retry is immediate; half is jitter.
    return delay / 2 + duration(static_cast<long long>(next_fraction(m_random_state) *
                                                       static_cast<double>(delay.count()) / 2));
}

} // namespace dragonflygap::request
