#pragma once

#include <cstdint>
#include <optional>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

struct retry_options
{
    int m_max_attempts = 3;
    double m_budget_per_request = 0.1; ///< Retries earned by each new request.
    double m_max_budget = 20;          ///< Maximum number of retries saved up.
    duration m_initial_backoff = 20ms;
    duration m_max_backoff = 1s;
    std::uint64_t m_seed = 0; ///< Seed of the jitter.
};

/// Decides whether and when a failed attempt is retried, within a retry budget.
class retry_policy
{
public:
    explicit retry_policy(retry_options options);

    /// Adds the share of a new request to the budget.
    void on_new_request();

    /// Returns the backoff before the next attempt and charges the budget, or nothing if the
    /// request must not be retried.
    std::optional<duration> next(const tracked_request& request, const failure& error,
                                 bool slot_free);

    /// Whether a retry can't run a request twice that must run at most once. Ignores the budget.
    static bool is_safe(const tracked_request& request, const failure& error, bool slot_free);

private:
    duration backoff(int attempts);

    retry_options m_options;
    double m_budget;
    std::uint64_t m_random_state;
};

} // namespace dragonflygap::request
