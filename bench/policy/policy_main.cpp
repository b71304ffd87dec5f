#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "contest.hpp"
#include "cost.hpp"
#include "workload.hpp"

using namespace dragonflygap;
using namespace dragonflygap::bench;

/// Compares the request scheduler with FIFO, plain priority and an oracle on the same arrivals.
namespace
{

double p99_ms(const std::vector<arrival>& arrivals, const replay_result& result,
              const std::string& name, bool include_run_time = false)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        if (arrivals[i].m_class.m_value == name && result.m_request_results[i].m_start_count != 0)
            values.push_back(
                static_cast<double>((include_run_time ? result.m_request_results[i].m_latency
                                                      : result.m_request_results[i].m_wait)
                                        .count()));
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[values.size() * 99 / 100] / 1000;
}

/// Slot time that a class used between two instants, as a share of all slots.
double slot_share(const std::vector<arrival>& arrivals, const replay_result& result,
                  const std::string& name, instant from, instant until)
{
    double used = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        if (arrivals[i].m_class.m_value != name || result.m_request_results[i].m_start_count == 0)
            continue;
        const instant start = arrivals[i].m_at + result.m_request_results[i].m_wait;
        const auto inside = std::min(until, start + arrivals[i].m_run_time) - std::max(from, start);
        used += std::max(0.0, static_cast<double>(inside.count()));
    }
    return used / static_cast<double>((until - from).count()) / slots_per_node;
}

/// Percentage of rejections that were sent within 10 ms; 100 if there were none.
double immediate_refusal_percent(const replay_result& result)
{
    double refused = 0;
    double immediate = 0;
    for (const auto& item : result.m_request_results)
    {
        if (item.m_start_count != 0)
            continue;
        refused += 1;
        immediate += item.m_latency <= 10ms ? 1 : 0;
    }
    return refused == 0 ? 100 : 100 * immediate / refused;
}

void compare_head_of_line_blocking(const char* title, const stream& tablets)
{
    const classes class_settings{
        {.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
        {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = 2s, .m_max_queued = 100000}};
    const stream plans{.m_class = "plan",
                       .m_groups_per_second = 36,
                       .m_run_time = 2s,
                       .m_straggler_share = 0.02,
                       .m_deadline = 120s};
    const instant from = instant(1000s) + 10s;
    const instant until = instant(1000s) + 60s;
    std::printf("\n%s\n%-14s %-26s %-26s %-26s\n", title, "policy", "tablet p99 wait ms",
                "tablet p99 latency ms", "slot share of plans");
    for (const auto& candidate : policies())
    {
        sample_set wait;
        sample_set latency;
        sample_set plan_share;
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
        {
            const auto arrivals = make_arrivals({tablets, plans}, seed);
            const auto result =
                replay_on_node(arrivals, candidate.m_make(class_settings, arrivals));
            require_exactly_once(result);
            wait.m_values.push_back(p99_ms(arrivals, result, "tablet"));
            latency.m_values.push_back(p99_ms(arrivals, result, "tablet", true));
            plan_share.m_values.push_back(slot_share(arrivals, result, "plan", from, until));
        }
        std::printf("%-14s %-26s %-26s %-26s\n", candidate.m_name, wait.summary().c_str(),
                    latency.summary().c_str(), plan_share.summary("%.4f").c_str());
    }
    sample_set wait;
    sample_set latency;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        const auto arrivals = without_class(make_arrivals({tablets, plans}, seed), "plan");
        const auto result = replay_on_node(arrivals, make_scheduler_node(class_settings));
        wait.m_values.push_back(p99_ms(arrivals, result, "tablet"));
        latency.m_values.push_back(p99_ms(arrivals, result, "tablet", true));
    }
    std::printf("%-14s %-26s %-26s\n", "without plans", wait.summary().c_str(),
                latency.summary().c_str());
}

std::vector<stream> surge_streams(double factor, duration from, duration until)
{
    // Base load, as a share of the time of 64 slots: tablets 2.4%, checks 4.8%, plans 4.8%.
    return {{.m_class = "tablet",
             .m_groups_per_second = 150 * factor,
             .m_run_time = 10ms,
             .m_straggler_share = 0.005,
             .m_straggler_factor = 20,
             .m_deadline = 2s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until},
            {.m_class = "check",
             .m_groups_per_second = 30 * factor,
             .m_run_time = 100ms,
             .m_run_time_sigma = 0.5,
             .m_straggler_share = 0.02,
             .m_straggler_factor = 20,
             .m_deadline = 5s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until},
            {.m_class = "plan",
             .m_groups_per_second = 1.5 * factor,
             .m_run_time = 2s,
             .m_run_time_sigma = 0.5,
             .m_straggler_share = 0.03,
             .m_straggler_factor = 10,
             .m_deadline = 15s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until}};
}

void compare_load_surge(const char* title, double factor, double declared_factor)
{
    const auto declared = [&](double ms)
    { return duration(static_cast<long long>(ms * 1000 * declared_factor)); };
    const classes class_settings{
        {.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = declared(10)},
        {.m_name = class_id("check"), .m_urgency = 3, .m_expected = declared(100)},
        {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = declared(2000)}};
    std::printf("\n%s\n%-14s %-26s %-22s %-22s %-22s %-16s %-24s %s\n", title, "policy",
                "on time, % of the oracle's", "tablets on time %", "checks on time %",
                "plans on time %", "max open", "quiet callers on time %", "refused within 10 ms %");
    std::vector<double> oracle_on_time;
    auto candidates = policies();
    std::rotate(candidates.begin(), candidates.end() - 1, candidates.end());
    for (const auto& candidate : candidates)
    {
        sample_set total;
        sample_set max_open;
        sample_set quiet_share;
        sample_set immediate;
        std::vector<sample_set> by_class(class_settings.size());
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
        {
            auto streams = surge_streams(1, 0s, 30s);
            for (const auto& extra : surge_streams(factor - 1, 10s, 20s))
                streams.push_back(extra);
            const auto arrivals = make_arrivals(streams, seed);
            const auto result =
                replay_on_node(arrivals, candidate.m_make(class_settings, arrivals));
            require_exactly_once(result);
            double on_time = 0;
            double quiet_requests = 0;
            double quiet_on_time = 0;
            std::vector<double> on_time_counts(class_settings.size());
            std::vector<double> request_counts(class_settings.size());
            for (std::size_t i = 0; i < arrivals.size(); ++i)
            {
                const bool is_flooding = arrivals[i].m_caller == caller_id("caller-0");
                quiet_requests += is_flooding ? 0 : 1;
                quiet_on_time += !is_flooding && result.m_request_results[i].m_on_time ? 1 : 0;
                for (std::size_t c = 0; c < class_settings.size(); ++c)
                    if (arrivals[i].m_class == class_settings[c].m_name)
                    {
                        request_counts[c] += 1;
                        on_time_counts[c] += result.m_request_results[i].m_on_time ? 1 : 0;
                        on_time += result.m_request_results[i].m_on_time ? 1 : 0;
                    }
            }
            immediate.m_values.push_back(immediate_refusal_percent(result));
            quiet_share.m_values.push_back(100 * quiet_on_time / quiet_requests);
            if (oracle_on_time.size() < seed_count)
                oracle_on_time.push_back(on_time);
            total.m_values.push_back(100 * on_time / oracle_on_time[seed - 1]);
            max_open.m_values.push_back(static_cast<double>(result.m_max_open));
            for (std::size_t c = 0; c < class_settings.size(); ++c)
                by_class[c].m_values.push_back(100 * on_time_counts[c] / request_counts[c]);
        }
        std::printf("%-14s %-26s %-22s %-22s %-22s %-16s %-24s %s\n", candidate.m_name,
                    total.summary().c_str(), by_class[0].summary("%.1f").c_str(),
                    by_class[1].summary("%.1f").c_str(), by_class[2].summary("%.1f").c_str(),
                    max_open.summary("%.0f").c_str(), quiet_share.summary("%.1f").c_str(),
                    immediate.summary("%.1f").c_str());
    }
}

constexpr std::size_t node_count = 8;

/// Compares forwarding strategies; loads holds each entry VM's load as a share of its slots.
void compare_peer_selection(const char* title, const std::array<double, node_count>& loads)
{
    struct selection_mode
    {
        const char* m_name;
        std::uint32_t m_hops;
        request::peer_selection m_selection;
    };
    const selection_mode modes[] = {{"no forwarding", 0, request::peer_selection::random},
                                    {"random", 1, request::peer_selection::random},
                                    {"least loaded", 1, request::peer_selection::least_loaded},
                                    {"two choices", 1, request::peer_selection::two_choices}};
    const classes class_settings{
        {.m_name = class_id("check"), .m_urgency = 3, .m_expected = 100ms}};
    std::printf("\n%s\n%-14s %-26s %-26s %-26s\n", title, "choice", "on time %", "p99 wait ms",
                "forwarded %");
    for (const auto& mode : modes)
    {
        sample_set on_time;
        sample_set wait;
        sample_set forwarded;
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
        {
            std::vector<stream> streams;
            std::vector<node> cell;
            for (std::size_t n = 0; n < node_count; ++n)
            {
                streams.push_back({.m_class = "check",
                                   .m_groups_per_second = loads[n] * slots_per_node / 0.1,
                                   .m_run_time = 90ms,
                                   .m_run_time_sigma = 0.45,
                                   .m_deadline = 1s,
                                   .m_until = 20s,
                                   .m_node = n});
                const data_centre_id data_centre(std::to_string(n % 3));
                cell.push_back(make_scheduler_node(class_settings,
                                                   {.m_max_hops = mode.m_hops,
                                                    .m_peers = {.m_data_centre = data_centre,
                                                                .m_selection = mode.m_selection,
                                                                .m_seed = seed * node_count + n}},
                                                   data_centre));
            }
            const auto arrivals = make_arrivals(streams, seed);
            const auto result = replay(arrivals, cell);
            require_exactly_once(result);
            const auto total = static_cast<double>(arrivals.size());
            const auto share = [&](auto of) {
                return 100 *
                       static_cast<double>(std::ranges::count_if(result.m_request_results, of)) /
                       total;
            };
            on_time.m_values.push_back(
                share([](const request_result& item) { return item.m_on_time; }));
            forwarded.m_values.push_back(
                share([](const request_result& item) { return item.m_forward_count != 0; }));
            wait.m_values.push_back(p99_ms(arrivals, result, "check"));
        }
        std::printf("%-14s %-26s %-26s %-26s\n", mode.m_name, on_time.summary().c_str(),
                    wait.summary().c_str(), forwarded.summary().c_str());
    }
}

} // namespace

int main()
{
    std::printf("median [min max] of %d seeds; one entry VM: %d slots\n", seed_count,
                slots_per_node);
    compare_head_of_line_blocking(
        "Head of line: full load of plans, 30 tablets/s",
        {.m_class = "tablet", .m_groups_per_second = 30, .m_deadline = 60s});
    compare_head_of_line_blocking(
        "Head of line: full load of plans, 300 tablets/s",
        {.m_class = "tablet", .m_groups_per_second = 300, .m_deadline = 60s});
    compare_head_of_line_blocking(
        "Head of line: full load of plans, shift change: 200 tablets at once, every 2 s",
        {.m_class = "tablet", .m_groups_per_second = 0.5, .m_group_size = 200, .m_deadline = 60s});
    compare_load_surge("Swing: ten-fold for 10 s, 1.4 of the capacity, true declared run times", 10,
                       1);
    compare_load_surge("Swing: ten-fold for 10 s, declared run times a tenth of the true ones", 10,
                       0.1);
    compare_load_surge("Swing: ten-fold for 10 s, declared run times ten times the true ones", 10,
                       10);
    compare_load_surge("Swing: sixteen-fold for 10 s, 2.2 of the capacity", 16, 1);
    compare_peer_selection(
        "Forwarding: eight entry VMs in three data centres, 0.8 of the slots in all",
        {1.6, 1.2, 0.9, 0.9, 0.6, 0.6, 0.3, 0.3});
    compare_peer_selection("Forwarding: the same, 0.95 of the slots in all",
                           {1.8, 1.4, 1.1, 1.0, 0.8, 0.7, 0.5, 0.3});
    print_costs();
    return 0;
}
