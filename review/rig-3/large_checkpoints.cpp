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
    // The check is of this one, which is small and needs nothing but a place.
    const std::string small_id = "7a215c0e36f8d94b";
    job small{.m_specification = "(text)",
              .m_steps = {{.m_count = 2, .m_cpu = 500, .m_memory_mb = 256}}};
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[small_id] = small;
    }
    int result = 2;
    if (submit(machines, "/lohu930/" + id, wide.body()))
    {
        sleep_ms(30000);
        if (submit(machines, "/lohu930/" + small_id, small.body()))
        {
            const auto traffic_ended = now_ms();
            wait_check check(shared, executors, small_id);
            while (now_ms() < traffic_ended + 45000)
            {
                sleep_ms(20);
                if (now_ms() >= traffic_ended + 14000) // finish_s
                    check.look();
            }
            record.line("for %lld ms on end the small job had nothing running beside room",
                        static_cast<long long>(check.longest_ms()));
            record.line("GET of the wide job: %s, of the small one: %s",
                        state_of(*machines[0], "/lohu930/" + id).c_str(),
                        state_of(*machines[0], "/lohu930/" + small_id).c_str());
            result = check.broken() ? 1 : 0;
        }
    }
    finish(result);
}
