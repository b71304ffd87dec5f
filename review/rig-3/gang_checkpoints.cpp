// A gang whose members save their progress loses one executor. Its next run has to start from one
// value.
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
    shared.m_checkpoint_interval_ms = 500; // checkpoint_interval_s of the site
    constexpr int members = 4;
    constexpr std::int64_t work_ms = 14000;
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
    const json body{{"specification", "(text)"},
                    {"steps",
                     {{{"count", members},
                       {"cpu", 9000},
                       {"requested_memory_mb", 1024},
                       {"estimated_duration_ms", work_ms},
                       {"gang", true},
                       {"checkpointing", true}}}}};
    {
        const std::lock_guard lock(shared.m_mutex);
        shared.m_jobs[id] = {"(text)",
                             {{.m_count = members,
                               .m_cpu = 9000,
                               .m_memory_mb = 1024,
                               .m_gang = true,
                               .m_checkpointing = true,
                               .m_work_ms = work_ms}}};
    }
    int result = 2;
    std::map<std::int64_t, std::set<std::string>> values;
    if (submit(machines, "/lohu930/" + id, body))
    {
        // All members work since then.
        std::int64_t complete = 0;
        for (int i = 0; i < 500 && complete == 0; ++i)
        {
            sleep_ms(10);
            const std::lock_guard lock(shared.m_mutex);
            if (!shared.m_complete_at.empty())
                complete = shared.m_complete_at.begin()->second;
        }
        if (complete != 0)
        {
            sleep_ms(complete + 7200 - steady_ms());
            std::string victim;
            {
                const std::lock_guard lock(shared.m_mutex);
                victim = shared.m_starts.front().m_executor;
            }
            if (trouble())
                for (auto& one : executors)
                    if (one->id() == victim)
                        one->crash();
            std::string state;
            for (int i = 0; i < 60 && state != "completed" && state != "failed"; ++i)
            {
                sleep_ms(1000);
                state = state_of(*machines[static_cast<std::size_t>(i) % 3], "/lohu930/" + id);
                record.line("GET: %s", state.c_str());
            }
            const std::lock_guard lock(shared.m_mutex);
            for (const auto& start : shared.m_starts)
                values[start.m_run].insert(start.m_checkpoint);
            if (state == "completed")
                result = 0;
        }
    }
    for (const auto& [run, saved] : values)
    {
        std::string text;
        for (const auto& value : saved)
            text += " '" + value + "'";
        record.line("run %lld: its members were told to start from%s", static_cast<long long>(run),
                    text.c_str());
        if (saved.size() > 1)
            result = 1;
    }
    finish(result);
}
