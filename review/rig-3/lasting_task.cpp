// An executor loses power for good. What lasts and ran there has to run again soon.
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
    for (int i = 0; i < 16; ++i)
        executors.push_back(std::make_unique<executor>(
            shared, platform, "i-7f3a91" + std::to_string(10 + i), "huvo11a",
            std::string("norte-") + "abc"[i % 3], "r1-" + std::to_string(i / 4), 16000, 32768));
    std::vector<std::unique_ptr<machine>> machines;
    for (const char* zone : {"norte-a", "norte-b", "norte-c"})
        machines.push_back(std::make_unique<machine>(
            platform, std::string("frontend-") + zone + "-1", zone, folder, program));
    start_all(machines);

    const std::string id = "5c0e7a21d94b36f8";
    constexpr int tasks = 4;
    job lasting{.m_specification = "(text)",
                .m_steps = {{.m_count = tasks,
                             .m_cpu = 2000,
                             .m_memory_mb = 1024,
                             .m_work_ms = 3600000,
                             .m_anti_affinity = 1,
                             .m_long_running = true}}};
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[id] = lasting;
    }
    const auto running = [&]
    {
        const std::lock_guard lock(shared.m_mutex);
        int result = 0;
        for (const auto& [task, hosts] : shared.m_hosts)
            result += hosts.empty() ? 0 : 1;
        return result;
    };
    int result = 2;
    if (submit(machines, "/lohu930/" + id, lasting.body()))
    {
        for (int i = 0; i < 100 && running() < tasks; ++i)
            sleep_ms(100);
        sleep_ms(10100); // a report was read just before
        if (running() == tasks)
        {
            result = 0;
            std::string victim;
            {
                const std::lock_guard lock(shared.m_mutex);
                victim = *shared.m_hosts.begin()->second.begin();
            }
            const auto lost_at = now_ms();
            if (trouble())
                for (auto& one : executors)
                    if (one->id() == victim)
                        one->lose_power();
            // LOST: from 6 s after its last run, for 3 s, a task that lasts has nothing running.
            while (now_ms() < lost_at + 9000)
                sleep_ms(10);
            record.line("9 s after the loss %d of %d tasks run", running(), tasks);
            if (running() < tasks)
                result = 1;
            while (running() < tasks && now_ms() < lost_at + 40000)
                sleep_ms(10);
            record.line("%.1f s after the loss %d of %d tasks run",
                        static_cast<double>(now_ms() - lost_at) / 1000, running(), tasks);
        }
    }
    finish(result);
}
