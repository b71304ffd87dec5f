// Each task of a wide job fails once and is done in its second run.
#include "rig.hpp"

using namespace rig;

int main(int count, char** arguments)
{
    if (count < 3)
        return 2;
    const std::string program = arguments[1];
    record.open(arguments[2]);
    guard();
    const auto folder = make_folder();
    store platform;
    world shared;
    shared.m_quiet = true;
    constexpr int max_attempts = 3;
    platform.put("op", "config",
                 configuration(7,
                               json::array({route("r-1", "/lohu930/", "huvo11a", 1, max_attempts)}),
                               "huvo11a")
                     .dump());
    std::vector<std::unique_ptr<executor>> executors;
    for (int i = 0; i < 8; ++i)
        executors.push_back(std::make_unique<executor>(
            shared, platform, "i-7f3a91c" + std::to_string(i), "huvo11a",
            std::string("norte-") + "abc"[i % 3], "r1-" + std::to_string(i / 4), 16000, 32768));
    std::vector<std::unique_ptr<machine>> machines;
    for (const char* zone : {"norte-a", "norte-b", "norte-c"})
        machines.push_back(std::make_unique<machine>(
            platform, std::string("frontend-") + zone + "-1", zone, folder, program));
    start_all(machines);

    const std::string id = "5c0e7a21d94b36f8";
    constexpr int steps = 8;
    constexpr int width = 10000;
    job wide{.m_specification = "(text)", .m_steps = {}};
    for (int i = 0; i < steps; ++i)
        wide.m_steps.push_back({.m_count = width,
                                .m_cpu = 5,
                                .m_memory_mb = 4,
                                .m_work_ms = 200,
                                .m_fails_once = trouble(),
                                .m_longest_ms = 80000});
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[id] = wide;
    }
    int result = 2;
    if (submit(machines, "/lohu930/" + id, wide.body()))
    {
        const auto handed_in = now_ms();
        std::string state;
        while (now_ms() < handed_in + 100000 && state != "completed" && state != "failed")
        {
            sleep_ms(1000);
            state = state_of(*machines[0], "/lohu930/" + id);
            const std::lock_guard lock(shared.m_mutex);
            record.line("GET: %s; %zu starts, %zu tasks done", state.c_str(),
                        shared.m_starts.size(), shared.m_done_at.size());
        }
        const std::lock_guard lock(shared.m_mutex);
        std::map<std::string, int> failures;
        int most = 0;
        for (const auto& end : shared.m_ends)
            if (end.m_how == "failed")
                most = std::max(most, ++failures[end.m_task]);
        for (int i = 0; i < steps; ++i)
        {
            const auto name = id + ".0." + std::to_string(i) + ".";
            const auto starts =
                std::count_if(shared.m_starts.begin(), shared.m_starts.end(),
                              [&](const auto& start) { return start.m_task.starts_with(name); });
            std::map<std::string, int> ends;
            for (const auto& end : shared.m_ends)
                if (end.m_task.starts_with(name))
                    ++ends[end.m_how];
            std::string text;
            for (const auto& [how, times] : ends)
                text += " " + how + " " + std::to_string(times);
            record.line("step %d: %lld starts, ends:%s", i, static_cast<long long>(starts),
                        text.c_str());
        }
        record.line("the job is shown as %s; the most failures of one task are %d, %d are allowed",
                    state.c_str(), most, max_attempts - 1);
        if (state == "completed")
            result = 0;
        if (state == "failed")
            result = most < max_attempts ? 1 : 0;
    }
    finish(result);
}
