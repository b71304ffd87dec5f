#include "dragonflygap/request/retry_policy.hpp"

#include <algorithm>

#include "dragonflygap/request/random_sequence.hpp"
#include "dragonflygap/request/target_set.hpp"

namespace dragonflygap::request
{

namespace
{

/// Whether another target may do better; a bad request fails everywhere.
bool worth_retrying(reason why)
{
    return is_target_fault(why) || why == reason::not_owner || why == reason::stale_epoch;
}

} // namespace

retry_policy::retry_policy(retry_options options)
    : m_options(options), m_budget(options.m_budget_most), m_random(options.m_seed)
{
}

void retry_policy::on_fresh()
{
    m_budget = std::min(m_options.m_budget_most, m_budget + m_options.m_budget_share);
}

bool retry_policy::safe(const tracked_request& request, const failure& what, bool slot_free)
{
    if (!slot_free || what.m_verdict == verdict::ran)
        return false;
    if (request.m_request.m_idempotent)
        return true;
    return what.m_verdict == verdict::not_run && !request.m_may_have_run;
}

std::optional<duration> retry_policy::next(const tracked_request& request, const failure& what,
                                           bool slot_free)
{
    if (!safe(request, what, slot_free) || !worth_retrying(what.m_reason))
        return {};
    if (request.m_attempts >= m_options.m_max_attempts || m_budget < 1)
        return {};
    m_budget -= 1;
    return backoff(request.m_attempts);
}

duration retry_policy::backoff(int attempts)
{
    constexpr int most_doublings = 20;
    const auto doubled =
        m_options.m_first_backoff * (1LL << std::min(attempts - 1, most_doublings));
    const auto longest = std::min<duration>(doubled, m_options.m_longest_backoff);
    // Half is fixed, so that a retry never comes at once; half is spread.
    return longest / 2 + duration(static_cast<long long>(next_fraction(m_random) *
                                                         static_cast<double>(longest.count()) / 2));
}

} // namespace dragonflygap::request
