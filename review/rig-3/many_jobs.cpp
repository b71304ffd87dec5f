// The cell keeps thousands of accepted jobs that are due later. The process that leads is killed,
// as the final fault. The machines have a quarter of a core each, by a quota.
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
    constexpr int total = 11000;
    constexpr double processor_share = 0.25; // limits.cpu_share of the site
    constexpr std::int64_t recovery_ms = 12000;
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
    for (int i = 0; i < 8; ++i)
    {
        const auto zone = std::string("norte-") + "abc"[i % 3];
        machines.push_back(std::make_unique<machine>(
            platform, "frontend-" + zone + "-" + std::to_string(1 + i / 3), zone, folder, program));
    }
    start_all(machines);
    for (auto& one : machines)
        one->limit_processor(processor_share);

    // A request of a client: four tries, at one machine after another, within its deadline of 3 s.
    std::atomic<int> tries{0};
    const auto served = [&](const std::string& path, const std::string& text)
    {
        const auto until = steady_ms() + 3000;
        for (int i = 0; i < 4 && steady_ms() < until; ++i)
        {
            auto& to = *machines[static_cast<std::size_t>(tries++) % machines.size()];
            const auto answer =
                call(to.caller_port(), "POST", path, host, text, until - steady_ms());
            if (answer.m_status == 200)
                return true;
            sleep_ms(answer.m_status == 503 ? 700 : 50);
        }
        return false;
    };

    // Nightly jobs, handed in an hour before.
    job nightly{.m_specification = std::string(4000, 'x'),
                .m_steps = {{.m_count = 4, .m_cpu = 1000, .m_memory_mb = 256}},
                .m_repetitions = 24,
                .m_start_at_ms = unix_ms() + 3600000,
                .m_interval_ms = 86400000};
    const auto nightly_text = nightly.body().dump();
    std::atomic<int> accepted{0};
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 24; ++t)
        threads.emplace_back(
            [&]
            {
                for (int i = next++; i < total; i = next++)
                {
                    char path[40];
                    std::snprintf(path, sizeof path, "/lohu930/%08x5c0e7a21", i);
                    accepted += served(path, nightly_text) ? 1 : 0;
                }
            });
    for (auto& thread : threads)
        thread.join();
    record.line("%d of %d jobs accepted that are due in an hour", accepted.load(), total);

    // Small jobs, two a second.
    job small{.m_specification = "(text)",
              .m_steps = {{.m_count = 2, .m_cpu = 1000, .m_memory_mb = 256, .m_work_ms = 500}}};
    const auto small_text = small.body().dump();
    int number = 0;
    const auto probe = [&](std::int64_t until, int& sent, int& answered)
    {
        while (now_ms() < until)
        {
            char id[20];
            std::snprintf(id, sizeof id, "%08x7a215c0e", ++number);
            {
                const std::lock_guard lock(shared.m_mutex);
                shared.m_jobs[id] = small;
            }
            const auto began = now_ms();
            const bool ok = served(std::string("/lohu930/") + id, small_text);
            ++sent;
            answered += ok ? 1 : 0;
            record.line("request %s: %s, %lld ms", id, ok ? "served" : "not served",
                        static_cast<long long>(now_ms() - began));
            sleep_ms(began + 500 - now_ms());
        }
    };
    int sent_before = 0;
    int served_before = 0;
    probe(now_ms() + 5000, sent_before, served_before);

    machine* leader = nullptr;
    for (auto& one : machines)
        if (leader == nullptr ||
            one->last_line("event=leader_started") > leader->last_line("event=leader_started"))
            leader = one.get();
    if (trouble())
    {
        record.line("the leader %s is killed", leader->name().c_str());
        leader->kill_now();
        sleep_ms(500);
        leader->start();
    }
    const auto back = now_ms();
    int sent_early = 0;
    int served_early = 0;
    probe(back + recovery_ms, sent_early, served_early);
    int sent = 0;
    int answered = 0;
    probe(back + recovery_ms + 25000, sent, answered);
    record.line("before: %d of %d served; in the first 12 s: %d of %d; later, until 37 s: %d of %d",
                served_before, sent_before, served_early, sent_early, answered, sent);
    for (auto& one : machines)
        record.line("%s led %d times, and was deposed %d times", one->name().c_str(),
                    one->log_lines("event=leader_started"), one->log_lines("event=leader_deposed"));
    int result = 2;
    if (accepted > total * 9 / 10 && 4 * served_before >= sent_before)
        result = 4 * answered < sent ? 1 : 0;
    finish(result);
}
