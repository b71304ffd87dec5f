#include "dragonflygap/platform/report_cache.hpp"

#include <map>

#include <rapidcheck.h>

#include "dragonflygap/emulator/report_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::platform;

namespace
{

const worker_id the_worker("w");

task_report report(int number, task_state state)
{
    return {.m_task = task_id(std::to_string(number)), .m_state = state};
}

} // namespace

TEST_GROUP(report_cache)
{
    report_cache m_cache;
    emulator::report_log m_log{7};

    auto renew(const std::vector<task_report>& current,
               const renew_leases& request = {.m_epoch = 1})
    {
        return m_cache.apply(the_worker, request,
                             m_log.answer(current, m_cache.cursor(the_worker, request.m_epoch)));
    }
};

TEST(report_cache, an_unchanged_worker_sends_no_report_and_all_are_still_cached)
{
    const std::vector<task_report> tasks{report(1, task_state::running),
                                         report(2, task_state::running)};
    renew(tasks);
    CHECK(m_log.answer(tasks, m_cache.cursor(the_worker, 1)).m_tasks.empty());
    CHECK(renew(tasks) == tasks);
}

TEST(report_cache, a_new_epoch_requests_all_reports)
{
    renew({report(1, task_state::running)});
    CHECK(m_cache.cursor(the_worker, 2).empty());
}

TEST(report_cache, a_restarted_worker_replaces_all_reports)
{
    renew({report(1, task_state::running)});
    emulator::report_log restarted(8);
    const auto answer = restarted.answer({}, m_cache.cursor(the_worker, 1));
    CHECK(answer.m_complete);
    CHECK(m_cache.apply(the_worker, {.m_epoch = 1}, answer)->empty());
}

TEST(report_cache, a_task_that_the_worker_lost_silently_leads_to_a_request_for_all_reports)
{
    renew({report(1, task_state::running), report(2, task_state::running)});
    CHECK(!renew({report(1, task_state::running)}).has_value());
    CHECK(m_cache.cursor(the_worker, 1).empty());
}

TEST(report_cache, only_one_renewal_of_a_worker_is_in_flight)
{
    CHECK(m_cache.begin_renewal(the_worker));
    CHECK(!m_cache.begin_renewal(the_worker));
    m_cache.end_renewal(the_worker);
    CHECK(m_cache.begin_renewal(the_worker));
}

TEST(report_cache, assembled_reports_always_match_the_workers_tasks)
{
    CHECK(rc::check("random changes, lost answers and acknowledgements",
                    []
                    {
                        report_cache cache;
                        emulator::report_log log(7);
                        std::map<task_id, task_report> tasks;
                        int last = 0;
                        for (int step = 0; step < 40; ++step)
                        {
                            if (*rc::gen::inRange(0, 2) == 0)
                            {
                                const auto started = report(++last, task_state::running);
                                tasks[started.m_task] = started;
                            }
                            if (!tasks.empty() && *rc::gen::inRange(0, 3) == 0)
                                tasks.begin()->second.m_state = task_state::finished;
                            renew_leases request{.m_epoch = 1};
                            if (!tasks.empty() &&
                                tasks.begin()->second.m_state == task_state::finished)
                            {
                                request.m_acknowledged.push_back(tasks.begin()->first);
                                tasks.erase(tasks.begin());
                            }
                            std::vector<task_report> current;
                            for (const auto& [id, task] : tasks)
                                current.push_back(task);
                            const auto answer = log.answer(current, cache.cursor(the_worker, 1));
                            if (*rc::gen::inRange(0, 4) == 0)
                            {
                                cache.forget(the_worker);
                                continue;
                            }
                            const auto reports = cache.apply(the_worker, request, answer);
                            if (reports)
                                RC_ASSERT(*reports == current);
                            else
                                RC_ASSERT(cache.cursor(the_worker, 1).empty());
                        }
                    }));
}
