#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/history_checker/entry.hpp"

/// Looks for broken promises in the histories of several processes. Pure.
///
/// The instants of all lines must come from one clock: processes of one machine, or a virtual one.
namespace dragonflygap::history_checker
{

/// A promise that a history breaks.
struct violation
{
    std::string_view m_rule;
    std::string m_detail;
    instant m_at{};
};

struct checker_options
{
    duration m_leaving_grace = 5s; ///< From when the platform lists a worker as leaving.
    duration m_config_spread = 6s; ///< From a document's acceptance to its being in force.
};

/// One promise: its name and the check of a sorted history.
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
