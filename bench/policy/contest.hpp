#pragma once

#include <functional>
#include <string>
#include <vector>

#include "baseline.hpp"
#include "replay.hpp"

namespace dragonflygap::bench
{

inline constexpr int targets_per_node = 8;
inline constexpr int slots_per_target = 8;
inline constexpr int slots_per_node = targets_per_node * slots_per_target;
inline constexpr int seed_count = 7;

using classes = std::vector<config::request_class>;

/// One figure for each of several seeds.
struct sample_set
{
    std::vector<double> m_values;

    /// "median [min max]", each printed in this format.
    std::string summary(const char* format = "%.2f");
};

node make_scheduler_node(const classes& class_settings,
                         const request::scheduler_options& options = {},
                         const data_centre_id& data_centre = {});
node make_baseline_node(baseline_options options, const std::vector<arrival>& arrivals);

replay_result replay_on_node(const std::vector<arrival>& arrivals, node single_node);

/// A scheduling policy; all of them replay the same arrivals.
struct policy
{
    const char* m_name;
    std::function<node(const classes&, const std::vector<arrival>&)> m_make;
};

std::vector<policy> policies();

/// Exits with status 1 if a request was lost or started twice.
void require_exactly_once(const replay_result& result);

} // namespace dragonflygap::bench
