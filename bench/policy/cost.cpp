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

void cost(const char* title, double load)
{
    const classes known{
        {.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
        {.m_name = class_id("check"), .m_urgency = 3, .m_expected = 20ms, .m_max_queued = 100000}};
    spread each;
    spread open;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const auto arrivals = make_arrivals(
            {{.m_class = "tablet", .m_per_second = 1500, .m_run_time = 10ms, .m_until = 10s},
             {.m_class = "check",
              .m_per_second = 1500 * load,
              .m_run_time = 20ms,
              .m_deadline = 60s,
              .m_callers = 200,
              .m_until = 10s}},
            seed);
        const auto result = play_one(arrivals, make_ours(known));
        check(result);
        each.m_values.push_back(1e6 * result.m_wall_seconds / static_cast<double>(result.m_events));
        open.m_values.push_back(static_cast<double>(result.m_most_open));
    }
    std::printf("%-40s %-22s us/event   most open %s\n", title, each.text().c_str(),
                open.text("%.0f").c_str());
}

/// Mean and worst time of one event in microseconds.
void cost_of(const char* title, request::scheduler& made,
             const std::vector<request::scheduler_event>& events)
{
    double sum = 0;
    double worst = 0;
    for (const auto& event : events)
    {
        const auto begin = std::chrono::steady_clock::now();
        made.handle(event, instant(1001s));
        const std::chrono::duration<double, std::micro> spent =
            std::chrono::steady_clock::now() - begin;
        sum += spent.count();
        worst = std::max(worst, spent.count());
    }
    std::printf("%-40s %.2f us/event, worst %.0f us\n", title,
                sum / static_cast<double>(events.size()), worst);
}

void cancellations()
{
    constexpr int requests = 50000;
    request::scheduler made({});
    made.handle(
        request::classes_changed{
            {{.m_name = class_id("check"), .m_expected = 1ms, .m_max_queued = requests}}, {}},
        instant(1000s));
    made.handle(request::targets_changed{{{.m_id = target_id("t"), .m_slots = 8}}}, instant(1000s));
    std::vector<request::scheduler_event> submitted;
    std::vector<request::scheduler_event> cancelled;
    for (int i = 0; i < requests; ++i)
    {
        const request_id id(std::to_string(i));
        submitted.emplace_back(
            request::request_submitted{{.m_id = id,
                                        .m_caller = caller_id(std::to_string(i % 1000)),
                                        .m_class = class_id("check"),
                                        .m_deadline = instant(4600s)}});
        cancelled.emplace_back(request::request_cancelled{id});
    }
    cost_of("50,000 submitted, 8 slots", made, submitted);
    cost_of("1,000 ticks with 50,000 queued", made,
            std::vector<request::scheduler_event>(1000, request::scheduler_tick{}));
    cost_of("50,000 cancelled at once", made, cancelled);
}

} // namespace

void print_costs()
{
    std::printf("\nCost of the scheduler\n");
    cost("3,000 requests/s", 1);
    cost("about 10,000 requests/s, long queue", 5.6);
    cancellations();
}

} // namespace dragonflygap::bench
