// The tasks of a job save their progress as texts of 18,000 characters; 64 of them fit on an
// executor.
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
    shared.m_checkpoint_bytes = trouble() ? 18000 : 16;
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
    job wide{.m_specification = "(text)",
             .m_steps = {{.m_count = 512,
                          .m_cpu = 250,
                          .m_memory_mb = 256,
                          .m_checkpointing = true,
                          .m_work_ms = 20000}}};
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[id] = wide;
    }
    const auto running = [&]
    {
        const std::lock_guard lock(shared.m_mutex);
        std::size_t result = 0;
        for (const auto& [task, hosts] : shared.m_hosts)
            result += hosts.empty() ? 0 : 1;
        return result;
    };
    int result = 2;
    if (submit(machines, "/lohu930/" + id, wide.body()))
    {
        const auto handed_in = now_ms();
        std::int64_t longest = 0;
        std::int64_t idle_since = -1;
        std::string state;
        bool small_sent = false;
        while (now_ms() < handed_in + 80000 && state != "completed" && state != "failed")
        {
            sleep_ms(20);
            if (now_ms() % 1000 < 20)
                state = state_of(*machines[0], "/lohu930/" + id);
            // Another job, to see whether the executors take any.
            if (!small_sent && now_ms() > handed_in + 30000)
            {
                small_sent = true;
                const std::string small_id = "7a215c0e36f8d94b";
                job small{.m_specification = "(text)",
                          .m_steps = {{.m_count = 2, .m_cpu = 500, .m_memory_mb = 256}}};
                {
                    const std::lock_guard lock(shared.m_mutex);
                    shared.m_jobs[small_id] = small;
                }
                submit(machines, "/lohu930/" + small_id, small.body());
            }
            if (running() > 0 || now_ms() < handed_in + 14000)
            {
                idle_since = -1;
                continue;
            }
            if (idle_since < 0)
                idle_since = now_ms();
            longest = std::max(longest, now_ms() - idle_since);
        }
        record.line("for %lld ms on end nothing of the job ran, after 14 s; state %s after %.1f s",
                    static_cast<long long>(longest), state.c_str(),
                    static_cast<double>(now_ms() - handed_in) / 1000);
        if (small_sent)
            record.line("another job, handed in after 30 s: %s",
                        state_of(*machines[0], "/lohu930/7a215c0e36f8d94b").c_str());
        result = state == "completed" ? 0 : (longest >= 3000 ? 1 : 0);
    }
    finish(result);
}
