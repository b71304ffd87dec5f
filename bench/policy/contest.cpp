#include "contest.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace dragonflygap::bench
{

std::string spread::text(const char* format)
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

node make_ours(const classes& known, const request::scheduler_options& options,
               const data_centre_id& data_centre)
{
    auto made = std::make_shared<request::scheduler>(options);
    made->handle(request::classes_changed{known, {}}, instant(1000s));
    request::targets_changed targets;
    for (int i = 0; i < targets_per_node; ++i)
        targets.m_targets.push_back(
            {.m_id = target_id("t" + std::to_string(i)), .m_slots = slots_per_target});
    made->handle(targets, instant(1000s));
    return {.m_handle = [made](const auto& event, instant now) { return made->handle(event, now); },
            .m_load = [made](instant now) { return made->load(now); },
            .m_data_centre = data_centre};
}

node make_baseline(baseline_options options, const std::vector<arrival>& arrivals)
{
    options.m_slots = slots_per_node;
    auto made = std::make_shared<baseline>(std::move(options), arrivals);
    return {.m_handle = [made](const auto& event, instant now) { return made->handle(event, now); },
            .m_load = {},
            .m_data_centre = {}};
}

replay_result play_one(const std::vector<arrival>& arrivals, node only)
{
    std::vector<node> nodes{std::move(only)};
    return replay(arrivals, nodes);
}

std::vector<contest> contestants()
{
    return {{"FIFO", [](const classes&, const std::vector<arrival>& arrivals)
             { return make_baseline({.m_order = first_come()}, arrivals); }},
            {"priority", [](const classes& known, const std::vector<arrival>& arrivals)
             { return make_baseline({.m_order = most_urgent(known)}, arrivals); }},
            {"dragonflygap",
             [](const classes& known, const std::vector<arrival>&) { return make_ours(known); }},
            {"oracle", [](const classes&, const std::vector<arrival>& arrivals) {
                 return make_baseline({.m_order = shortest(), .m_knows_run_times = true}, arrivals);
             }}};
}

void check(const replay_result& result)
{
    if (result.lost() + result.doubled() == 0)
        return;
    std::printf("FAILED: lost %zu, doubled %zu\n", result.lost(), result.doubled());
    std::exit(1);
}

} // namespace dragonflygap::bench
