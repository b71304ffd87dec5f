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
inline constexpr int seeds = 7;

using classes = std::vector<config::request_class>;

/// The figures of several seeds.
struct spread
{
    std::vector<double> m_values;

    /// "median [least most]", each in this format.
    std::string text(const char* format = "%.2f");
};

node make_ours(const classes& known, const request::scheduler_options& options = {},
               const data_centre_id& data_centre = {});
node make_baseline(baseline_options options, const std::vector<arrival>& arrivals);

replay_result play_one(const std::vector<arrival>& arrivals, node only);

/// Plays the same arrivals under each policy.
struct contest
{
    const char* m_name;
    std::function<node(const classes&, const std::vector<arrival>&)> m_make;
};

std::vector<contest> contestants();

/// Ends the program if a request was lost or doubled.
void check(const replay_result& result);

} // namespace dragonflygap::bench
