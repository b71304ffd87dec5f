#include "cost.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "contest.hpp"

namespace dragonflygap::bench
{

namespace
{

void measure_event_cost(const char* title, double load)
{
    const classes class_settings{
        {.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
        {.m_name = class_id("check"), .m_urgency = 3, .m_expected = 20ms, .m_max_queued = 100000}};
    sample_set event_cost;
    sample_set max_open;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    {
        const auto arrivals = make_arrivals(
            {{.m_class = "tablet", .m_groups_per_second = 1500, .m_run_time = 10ms, .m_until = 10s},
             {.m_class = "check",
              .m_groups_per_second = 1500 * load,
              .m_run_time = 20ms,
              .m_deadline = 60s,
              .m_caller_count = 200,
              .m_until = 10s}},
            seed);
        const auto result = replay_on_node(arrivals, make_scheduler_node(class_settings));
        require_exactly_once(result);
        event_cost.m_values.push_back(1e6 * result.m_wall_seconds /
                                      static_cast<double>(result.m_events));
        max_open.m_values.push_back(static_cast<double>(result.m_max_open));
    }
    std::printf("%-40s %-22s us/event   max open %s\n", title, event_cost.summary().c_str(),
                max_open.summary("%.0f").c_str());
}

/// Prints the mean and the maximum time per event in microseconds.
void print_event_cost(const char* title, request::scheduler& scheduler,
                      const std::vector<request::scheduler_event>& events)
{
    double sum = 0;
    double worst = 0;
    for (const auto& event : events)
    {
        const auto begin = std::chrono::steady_clock::now();
        scheduler.handle(event, instant(1001s));
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - begin;
        sum += elapsed.count();
        worst = std::max(worst, elapsed.count());
    }
    std::printf("%-40s %.2f us/event, worst %.0f us\n", title,
                sum / static_cast<double>(events.size()), worst);
}

void measure_cancellations()
{
    constexpr int request_count = 50000;
    request::scheduler scheduler({});
    scheduler.handle(
        request::classes_changed{
            {{.m_name = class_id("check"), .m_expected = 1ms, .m_max_queued = request_count}}, {}},
        instant(1000s));
    scheduler.handle(request::targets_changed{{{.m_id = target_id("t"), .m_slots = 8}}},
                     instant(1000s));
    std::vector<request::scheduler_event> submitted;
    std::vector<request::scheduler_event> cancelled;
    for (int i = 0; i < request_count; ++i)
    {
        const request_id id(std::to_string(i));
        submitted.emplace_back(
            request::request_submitted{{.m_id = id,
                                        .m_caller = caller_id(std::to_string(i % 1000)),
                                        .m_class = class_id("check"),
                                        .m_deadline = instant(4600s)}});
        cancelled.emplace_back(request::request_cancelled{id});
    }
    print_event_cost("50,000 submitted, 8 slots", scheduler, submitted);
    print_event_cost("1,000 ticks with 50,000 queued", scheduler,
                     std::vector<request::scheduler_event>(1000, request::scheduler_tick{}));
    print_event_cost("50,000 cancelled at once", scheduler, cancelled);
}

} // namespace

void print_costs()
{
    std::printf("\nCost of the scheduler\n");
    measure_event_cost("3,000 requests/s", 1);
    measure_event_cost("about 10,000 requests/s, long queue", 5.6);
    measure_cancellations();
}

} // namespace dragonflygap::bench
