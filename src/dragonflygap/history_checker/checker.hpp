#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/history_checker/entry.hpp"

/// Checks the invariants of the cluster in the histories of several processes; has no side effects.
///
/// All instants must come from one clock: that of one machine, or a virtual one.
namespace dragonflygap::history_checker
{

/// A violation of a rule.
struct violation
{
    std::string_view m_rule;
    std::string m_detail;
    instant m_at{};
};

struct checker_options
{
    duration m_leaving_grace_period = 5s;       ///< Starts when the worker is listed as leaving.
    duration m_config_propagation_timeout = 6s; ///< From its commit until a document is in force.
};

/// An invariant: its name and the function that checks it in a sorted history.
struct rule
{
    std::string_view m_name;
    std::vector<violation> (*m_check)(std::span<const entry> history,
                                      const checker_options& options);
};

/// Every rule, in the order of docs/SCENARIOS.md.
std::span<const rule> rules();

/// Applies every rule to a sorted history.
std::vector<violation> check(std::span<const entry> history, const checker_options& options);

} // namespace dragonflygap::history_checker
