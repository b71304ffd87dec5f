#pragma once

#include <cstdint>
#include <optional>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

struct retry_options
{
    int m_max_attempts = 3;
    double m_budget_share = 0.1; ///< Retries as a share of fresh requests.
    double m_budget_most = 20;   ///< Retries that may be saved up.
    duration m_first_backoff = 20ms;
    duration m_longest_backoff = 1s;
    std::uint64_t m_seed = 0; ///< Of the jitter.
};

/// Decides whether and when a failed attempt is followed by another, within a budget.
class retry_policy
{
public:
    explicit retry_policy(retry_options options);

    /// A fresh request earns its share of a retry.
    void on_fresh();

    /// Backoff before the next attempt, at the expense of the budget; nothing if there is none.
    std::optional<duration> next(const tracked_request& request, const failure& what,
                                 bool slot_free);

    /// Whether another attempt can't double the request, whatever the budget says.
    static bool safe(const tracked_request& request, const failure& what, bool slot_free);

private:
    duration backoff(int attempts);

    retry_options m_options;
    double m_budget;
    std::uint64_t m_random;
};

} // namespace dragonflygap::request
