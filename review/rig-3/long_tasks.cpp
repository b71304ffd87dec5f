// The tasks of eight jobs take minutes, longer than their rough estimates say.
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
    platform.put(
        "op", "config",
        configuration(7, json::array({route("r-1", "/lohu930/", "huvo11a", 1, 3)}), "huvo11a")
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

    constexpr int jobs = 8;
    constexpr std::int64_t work_ms = 600000;
    const job one_task{.m_specification = "(text)",
                       .m_steps = {{.m_count = 1,
                                    .m_cpu = 9000,
                                    .m_memory_mb = 1024,
                                    .m_work_ms = work_ms,
                                    .m_estimated_ms = trouble() ? 60000 : work_ms}}};
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i)
    {
        ids.push_back("5c0e7a21d94b36f" + std::to_string(i));
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[ids.back()] = one_task;
    }
    int result = 2;
    if (std::all_of(ids.begin(), ids.end(),
                    [&](const std::string& id)
                    { return submit(machines, "/lohu930/" + id, one_task.body()); }))
    {
        const auto traffic_ended = now_ms();
        std::vector<wait_check> checks;
        for (const auto& id : ids)
            checks.emplace_back(shared, executors, id);
        while (now_ms() < traffic_ended + 45000)
        {
            sleep_ms(20);
            if (now_ms() >= traffic_ended + 14000) // finish_s
                for (auto& check : checks)
                    check.look();
        }
        result = 0;
        for (std::size_t i = 0; i < ids.size(); ++i)
        {
            std::size_t starts = 0;
            {
                const std::lock_guard lock(shared.m_mutex);
                for (const auto& start : shared.m_starts)
                    starts += start.m_task.starts_with(ids[i]) ? 1 : 0;
            }
            record.line(
                "%s: started %zu times, for %lld ms on end nothing of it ran beside room; %s",
                ids[i].c_str(), starts, static_cast<long long>(checks[i].longest_ms()),
                state_of(*machines[0], "/lohu930/" + ids[i]).c_str());
            if (checks[i].broken())
                result = 1;
        }
    }
    finish(result);
}
