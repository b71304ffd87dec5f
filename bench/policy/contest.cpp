#include "contest.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace dragonflygap::bench
{

std::string sample_set::summary(const char* format)
{
    std::ranges::sort(m_values);
    char buffer[96];
    std::string result;
    for (const double value : {m_values[m_values.size() / 2], m_values.front(), m_values.back()})
    {
        std::snprintf(buffer, sizeof buffer, format, value);
        result += result.empty() ? std::string(buffer) + " [" : std::string(buffer) + " ";
    }
    result.back() = ']';
    return result;
}

node make_scheduler_node(const classes& class_settings, const request::scheduler_options& options,
                         const data_centre_id& data_centre)
{
    auto scheduler = std::make_shared<request::scheduler>(options);
    scheduler->handle(request::classes_changed{class_settings, {}}, instant(1000s));
    request::targets_changed targets;
    for (int i = 0; i < targets_per_node; ++i)
        targets.m_targets.push_back(
            {.m_id = target_id("t" + std::to_string(i)), .m_slots = slots_per_target});
    scheduler->handle(targets, instant(1000s));
    return {.m_handle = [scheduler](const auto& event, instant now)
            { return scheduler->handle(event, now); },
            .m_load = [scheduler](instant now) { return scheduler->load(now); },
            .m_data_centre = data_centre};
}

node make_baseline_node(baseline_options options, const std::vector<arrival>& arrivals)
{
    options.m_slots = slots_per_node;
    auto scheduler = std::make_shared<baseline>(std::move(options), arrivals);
    return {.m_handle = [scheduler](const auto& event, instant now)
            { return scheduler->handle(event, now); },
            .m_load = {},
            .m_data_centre = {}};
}

replay_result replay_on_node(const std::vector<arrival>& arrivals, node single_node)
{
    std::vector<node> nodes{std::move(single_node)};
    return replay(arrivals, nodes);
}

std::vector<policy> policies()
{
    return {
        {"FIFO", [](const classes&, const std::vector<arrival>& arrivals)
         { return make_baseline_node({.m_sort_key = by_arrival()}, arrivals); }},
        {"priority", [](const classes& class_settings, const std::vector<arrival>& arrivals)
         { return make_baseline_node({.m_sort_key = by_urgency(class_settings)}, arrivals); }},
        {"dragonflygap", [](const classes& class_settings, const std::vector<arrival>&)
         { return make_scheduler_node(class_settings); }},
        {"oracle", [](const classes&, const std::vector<arrival>& arrivals) {
             return make_baseline_node({.m_sort_key = by_run_time(), .m_knows_run_times = true},
                                       arrivals);
         }}};
}

void require_exactly_once(const replay_result& result)
{
    if (result.lost() + result.duplicated() == 0)
        return;
    std::printf("FAILED: lost %zu, duplicated %zu\n", result.lost(), result.duplicated());
    std::exit(1);
}

} // namespace dragonflygap::bench
