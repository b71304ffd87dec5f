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
              const std::string& name, bool whole = false)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
        if (arrivals[i].m_class.m_value == name && result.m_fates[i].m_starts != 0)
            values.push_back(static_cast<double>(
                (whole ? result.m_fates[i].m_end_at : result.m_fates[i].m_wait).count()));
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[values.size() * 99 / 100] / 1000;
}

/// Slot time that requests of a class got between two instants, as a share of all slots.
double slot_share(const std::vector<arrival>& arrivals, const replay_result& result,
                  const std::string& name, instant from, instant until)
{
    double used = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        if (arrivals[i].m_class.m_value != name || result.m_fates[i].m_starts == 0)
            continue;
        const instant start = arrivals[i].m_at + result.m_fates[i].m_wait;
        const auto inside = std::min(until, start + arrivals[i].m_run_time) - std::max(from, start);
        used += std::max(0.0, static_cast<double>(inside.count()));
    }
    return used / static_cast<double>((until - from).count()) / slots_per_node;
}

/// Share of the refusals that came within 10 ms, in percent; 100 without refusals.
double refused_at_once(const replay_result& result)
{
    double refused = 0;
    double at_once = 0;
    for (const auto& item : result.m_fates)
    {
        if (item.m_starts != 0)
            continue;
        refused += 1;
        at_once += item.m_end_at <= 10ms ? 1 : 0;
    }
    return refused == 0 ? 100 : 100 * at_once / refused;
}

void head_of_line(const char* title, const stream& tablets)
{
    const classes known{
        {.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
        {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = 2s, .m_max_queued = 100000}};
    const stream plans{.m_class = "plan",
                       .m_per_second = 36,
                       .m_run_time = 2s,
                       .m_straggler_share = 0.02,
                       .m_deadline = 120s};
    const instant from = instant(1000s) + 10s;
    const instant until = instant(1000s) + 60s;
    std::printf("\n%s\n%-14s %-26s %-26s %-26s\n", title, "policy", "tablet p99 wait ms",
                "tablet p99 latency ms", "slot share of plans");
    for (const auto& who : contestants())
    {
        spread wait;
        spread latency;
        spread plan_share;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            const auto arrivals = make_arrivals({tablets, plans}, seed);
            const auto result = play_one(arrivals, who.m_make(known, arrivals));
            check(result);
            wait.m_values.push_back(p99_ms(arrivals, result, "tablet"));
            latency.m_values.push_back(p99_ms(arrivals, result, "tablet", true));
            plan_share.m_values.push_back(slot_share(arrivals, result, "plan", from, until));
        }
        std::printf("%-14s %-26s %-26s %-26s\n", who.m_name, wait.text().c_str(),
                    latency.text().c_str(), plan_share.text("%.4f").c_str());
    }
    spread wait;
    spread latency;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto arrivals = without(make_arrivals({tablets, plans}, seed), "plan");
        const auto result = play_one(arrivals, make_ours(known));
        wait.m_values.push_back(p99_ms(arrivals, result, "tablet"));
        latency.m_values.push_back(p99_ms(arrivals, result, "tablet", true));
    }
    std::printf("%-14s %-26s %-26s\n", "without plans", wait.text().c_str(),
                latency.text().c_str());
}

std::vector<stream> swing_streams(double times, duration from, duration until)
{
    // Shares of the slot time at rest: tablets 2.4%, checks 4.8%, plans 4.8% of 64 slots.
    return {{.m_class = "tablet",
             .m_per_second = 150 * times,
             .m_run_time = 10ms,
             .m_straggler_share = 0.005,
             .m_straggler_times = 20,
             .m_deadline = 2s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until},
            {.m_class = "check",
             .m_per_second = 30 * times,
             .m_run_time = 100ms,
             .m_spread = 0.5,
             .m_straggler_share = 0.02,
             .m_straggler_times = 20,
             .m_deadline = 5s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until},
            {.m_class = "plan",
             .m_per_second = 1.5 * times,
             .m_run_time = 2s,
             .m_spread = 0.5,
             .m_straggler_share = 0.03,
             .m_straggler_times = 10,
             .m_deadline = 15s,
             .m_flood_share = 0.5,
             .m_from = from,
             .m_until = until}};
}

void swing(const char* title, double times, double declared_times)
{
    const auto declared = [&](double ms)
    { return duration(static_cast<long long>(ms * 1000 * declared_times)); };
    const classes known{{.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = declared(10)},
                        {.m_name = class_id("check"), .m_urgency = 3, .m_expected = declared(100)},
                        {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = declared(2000)}};
    std::printf("\n%s\n%-14s %-26s %-22s %-22s %-22s %-16s %-24s %s\n", title, "policy",
                "on time, % of the oracle's", "tablets on time %", "checks on time %",
                "plans on time %", "most open", "quiet callers on time %",
                "refused within 10 ms %");
    std::vector<double> best;
    auto all = contestants();
    std::rotate(all.begin(), all.end() - 1, all.end());
    for (const auto& who : all)
    {
        spread total;
        spread open;
        spread quiet;
        spread at_once;
        std::vector<spread> by_class(known.size());
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            auto streams = swing_streams(1, 0s, 30s);
            for (const auto& more : swing_streams(times - 1, 10s, 20s))
                streams.push_back(more);
            const auto arrivals = make_arrivals(streams, seed);
            const auto result = play_one(arrivals, who.m_make(known, arrivals));
            check(result);
            double on_time = 0;
            double quiet_asked = 0;
            double quiet_kept = 0;
            std::vector<double> kept(known.size());
            std::vector<double> asked(known.size());
            for (std::size_t i = 0; i < arrivals.size(); ++i)
            {
                const bool floods = arrivals[i].m_caller == caller_id("caller-0");
                quiet_asked += floods ? 0 : 1;
                quiet_kept += !floods && result.m_fates[i].m_on_time ? 1 : 0;
                for (std::size_t c = 0; c < known.size(); ++c)
                    if (arrivals[i].m_class == known[c].m_name)
                    {
                        asked[c] += 1;
                        kept[c] += result.m_fates[i].m_on_time ? 1 : 0;
                        on_time += result.m_fates[i].m_on_time ? 1 : 0;
                    }
            }
            at_once.m_values.push_back(refused_at_once(result));
            quiet.m_values.push_back(100 * quiet_kept / quiet_asked);
            if (best.size() < seeds)
                best.push_back(on_time);
            total.m_values.push_back(100 * on_time / best[seed - 1]);
            open.m_values.push_back(static_cast<double>(result.m_most_open));
            for (std::size_t c = 0; c < known.size(); ++c)
                by_class[c].m_values.push_back(100 * kept[c] / asked[c]);
        }
        std::printf("%-14s %-26s %-22s %-22s %-22s %-16s %-24s %s\n", who.m_name,
                    total.text().c_str(), by_class[0].text("%.1f").c_str(),
                    by_class[1].text("%.1f").c_str(), by_class[2].text("%.1f").c_str(),
                    open.text("%.0f").c_str(), quiet.text("%.1f").c_str(),
                    at_once.text("%.1f").c_str());
    }
}

constexpr std::size_t nodes = 8;

/// loads: each entry VM's load as a share of its slots.
void peers(const char* title, const std::array<double, nodes>& loads)
{
    struct way
    {
        const char* m_name;
        std::uint32_t m_hops;
        request::peer_selection m_selection;
    };
    const way ways[] = {{"no forwarding", 0, request::peer_selection::random},
                        {"random", 1, request::peer_selection::random},
                        {"least loaded", 1, request::peer_selection::least_loaded},
                        {"two choices", 1, request::peer_selection::two_choices}};
    const classes known{{.m_name = class_id("check"), .m_urgency = 3, .m_expected = 100ms}};
    std::printf("\n%s\n%-14s %-26s %-26s %-26s\n", title, "choice", "on time %", "p99 wait ms",
                "forwarded %");
    for (const auto& choice : ways)
    {
        spread on_time;
        spread wait;
        spread forwarded;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            std::vector<stream> streams;
            std::vector<node> cell;
            for (std::size_t n = 0; n < nodes; ++n)
            {
                streams.push_back({.m_class = "check",
                                   .m_per_second = loads[n] * slots_per_node / 0.1,
                                   .m_run_time = 90ms,
                                   .m_spread = 0.45,
                                   .m_deadline = 1s,
                                   .m_until = 20s,
                                   .m_node = n});
                const data_centre_id data_centre(std::to_string(n % 3));
                cell.push_back(make_ours(known,
                                         {.m_max_hops = choice.m_hops,
                                          .m_peers = {.m_data_centre = data_centre,
                                                      .m_selection = choice.m_selection,
                                                      .m_seed = seed * nodes + n}},
                                         data_centre));
            }
            const auto arrivals = make_arrivals(streams, seed);
            const auto result = replay(arrivals, cell);
            check(result);
            const auto total = static_cast<double>(arrivals.size());
            const auto share = [&](auto of) {
                return 100 * static_cast<double>(std::ranges::count_if(result.m_fates, of)) / total;
            };
            on_time.m_values.push_back(share([](const fate& item) { return item.m_on_time; }));
            forwarded.m_values.push_back(
                share([](const fate& item) { return item.m_forwards != 0; }));
            wait.m_values.push_back(p99_ms(arrivals, result, "check"));
        }
        std::printf("%-14s %-26s %-26s %-26s\n", choice.m_name, on_time.text().c_str(),
                    wait.text().c_str(), forwarded.text().c_str());
    }
}

} // namespace

int main()
{
    std::printf("median [least most] of %d seeds; one entry VM: %d slots\n", seeds, slots_per_node);
    head_of_line("Head of line: full load of plans, 30 tablets/s",
                 {.m_class = "tablet", .m_per_second = 30, .m_deadline = 60s});
    head_of_line("Head of line: full load of plans, 300 tablets/s",
                 {.m_class = "tablet", .m_per_second = 300, .m_deadline = 60s});
    head_of_line("Head of line: full load of plans, shift change: 200 tablets at once, every 2 s",
                 {.m_class = "tablet", .m_per_second = 0.5, .m_group = 200, .m_deadline = 60s});
    swing("Swing: ten-fold for 10 s, 1.4 of the capacity, true declared run times", 10, 1);
    swing("Swing: ten-fold for 10 s, declared run times a tenth of the true ones", 10, 0.1);
    swing("Swing: ten-fold for 10 s, declared run times ten times the true ones", 10, 10);
    swing("Swing: sixteen-fold for 10 s, 2.2 of the capacity", 16, 1);
    peers("Forwarding: eight entry VMs in three data centres, 0.8 of the slots in all",
          {1.6, 1.2, 0.9, 0.9, 0.6, 0.6, 0.3, 0.3});
    peers("Forwarding: the same, 0.95 of the slots in all",
          {1.8, 1.4, 1.1, 1.0, 0.8, 0.7, 0.5, 0.3});
    print_costs();
    return 0;
}
