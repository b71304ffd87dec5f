// A job's tasks take minutes, longer than their rough estimate says. They have to run to their end.
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

    const std::string id = "5c0e7a21d94b36f8";
    constexpr int tasks = 8;
    constexpr std::int64_t work_ms = 600000;
    job wide{.m_specification = "(text)",
             .m_steps = {{.m_count = tasks,
                          .m_cpu = 3000,
                          .m_memory_mb = 1024,
                          .m_work_ms = work_ms,
                          .m_estimated_ms = trouble() ? 60000 : work_ms,
                          .m_anti_affinity = 1}}};
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[id] = wide;
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
    if (submit(machines, "/lohu930/" + id, wide.body()))
    {
        // The traffic has ended; finish_s after it, for 3 s, a job has nothing running while a
        // task's turn has come, and there is room for it twice over.
        const auto ended_at = now_ms();
        std::int64_t longest = 0;
        std::int64_t idle_since = -1;
        result = 0;
        while (now_ms() < ended_at + 75000)
        {
            sleep_ms(20);
            if (now_ms() < ended_at + 14000)
                continue;
            if (running() > 0)
            {
                idle_since = -1;
                continue;
            }
            if (idle_since < 0)
                idle_since = now_ms();
            longest = std::max(longest, now_ms() - idle_since);
        }
        if (longest >= 3000)
            result = 1;
        const std::lock_guard lock(shared.m_mutex);
        std::size_t most = 0;
        std::map<std::string, std::size_t> starts;
        for (const auto& start : shared.m_starts)
            most = std::max(most, ++starts[start.m_task]);
        record.line(
            "for %lld ms on end nothing of the job ran, though no executor had anything else"
            " to do; a task was started %zu times; state %s",
            static_cast<long long>(longest), most,
            state_of(*machines[0], "/lohu930/" + id).c_str());
    }
    finish(result);
}
