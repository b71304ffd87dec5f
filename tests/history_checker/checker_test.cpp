#include "dragonflygap/history_checker/checker.hpp"

#include <algorithm>
#include <sstream>

#include "dragonflygap/observe/history.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::history_checker;

namespace
{

/// Writes a history with history::format, so that the checker reads the keys that it writes.
struct history_builder
{
    std::vector<entry> m_entries;

    void add(duration at, const std::string& vm, const history::event& event)
    {
        std::istringstream line("time=x level=INFO " + history::format(vm, event, instant(at)));
        read_entries(line, m_entries);
    }

    std::string violated_rules() const
    {
        auto sorted = m_entries;
        sort_entries(sorted);
        std::string names;
        for (const auto& item : check(sorted, {}))
            names += std::string(item.m_rule) + ' ';
        return names;
    }
};

const resources full{.m_millicores = 1000, .m_memory_mb = 1000, .m_accelerators = 1};

history::request_accepted accepted(const std::string& id, const std::string& key = "",
                                   bool idempotent = true, std::uint32_t hops = 0)
{
    return {.m_request = request_id(id),
            .m_class = class_id("check"),
            .m_caller = caller_id("floor"),
            .m_key = idempotency_key(key),
            .m_idempotent = idempotent,
            .m_hops = hops};
}

history::execution_started execution(const std::string& id, const std::string& token = "",
                                     const std::string& worker = "w1")
{
    return {.m_request = request_id(id),
            .m_token = token,
            .m_target = target_id("e-" + worker),
            .m_worker = worker_id(worker),
            .m_slots = 1,
            .m_run_time = 10ms};
}

history::worker_task_started task(const std::string& id, const std::string& worker)
{
    return {task_id(id), worker_id(worker), full, full};
}

history::caller_answered answer(const std::string& token, const std::string& echo, verdict result)
{
    return {token, echo, result};
}

} // namespace

TEST_GROUP(checker)
{
    history_builder m_history;

    void add(duration at, const history::event& event, const std::string& vm = "a")
    {
        m_history.add(at, vm, event);
    }

    void check_violations(const char* rules)
    {
        STRCMP_EQUAL(rules, m_history.violated_rules().c_str());
    }
};

TEST(checker, a_valid_history_with_every_kind_of_event_passes)
{
    add(0s, history::node_started{1});
    add(1s, history::config_committed{5}, "emulator");
    add(3s, history::config_in_force{5});
    add(10s, history::lease_changed{data_centre_id("n"), 1, 1, true});
    add(11s, accepted("a.1", "key with blank", false));
    add(11s, history::request_dispatched{request_id("a.1"), target_id("e-w1")});
    add(11s, execution("a.1", "t1"), "emulator");
    add(12s, history::request_answered{request_id("a.1")});
    add(12s, answer("t1", "t1", verdict::ran), "load");
    add(13s, task("j/0.1", "w1"), "emulator");
    add(14s, history::worker_task_ended{task_id("j/0.1"), worker_id("w1")}, "emulator");
    add(14s, task("j/0.2", "w2"), "emulator");
    add(15s, history::worker_leaving{worker_id("w1")}, "emulator");
    add(16s, history::node_draining{});
    add(17s, history::node_stopped{});
    check_violations("");
}

TEST(checker, a_worker_beyond_its_capacity_is_found)
{
    add(1s, task("j/0.1", "w1"));
    add(2s, task("j/1.1", "w1"));
    check_violations("worker_capacity ");
}

TEST(checker, an_executor_beyond_its_slots_is_found)
{
    add(1s, execution("a.1"));
    add(1s, execution("a.2"));
    check_violations("executor_slots ");
}

TEST(checker, two_attempts_of_one_task_at_once_are_found)
{
    add(1s, task("j/0.1", "w1"));
    add(2s, task("j/0.2", "w2"));
    check_violations("single_running_task ");
}

TEST(checker, a_request_in_two_executors_at_once_is_found)
{
    add(1s, execution("a.1"));
    add(1s + 1ms, execution("a.1", "", "w2"));
    check_violations("single_running_request ");
}

TEST(checker, an_answer_to_another_caller_is_found)
{
    add(1s, answer("t1", "t2", verdict::ran));
    check_violations("own_answer ");
}

TEST(checker, a_second_answer_is_found)
{
    add(1s, accepted("a.1"));
    add(2s, history::request_answered{request_id("a.1")});
    add(3s, history::request_refused{request_id("a.1"), verdict::may_have_run});
    check_violations("answered_once ");
}

TEST(checker, a_request_reported_as_not_run_that_ran_is_found)
{
    add(1s, accepted("a.1"));
    add(2s, execution("a.1", "t1"));
    add(3s, history::request_refused{request_id("a.1"), verdict::not_run, reason::no_target});
    add(3s, answer("t1", "", verdict::not_run));
    check_violations("not_run not_run ");
}

TEST(checker, a_peers_refusal_is_valid_if_the_origin_runs_the_request_elsewhere)
{
    add(1s, accepted("a.1"));
    add(2s, accepted("a.1", "", true, 1), "b");
    add(3s, history::request_refused{request_id("a.1"), verdict::not_run, reason::no_target}, "b");
    add(4s, execution("a.1"));
    add(5s, history::request_answered{request_id("a.1")});
    check_violations("");
}

TEST(checker, a_non_idempotent_request_that_ran_twice_through_two_entry_vms_is_found)
{
    add(1s, accepted("a.1", "k", false));
    add(1s, accepted("b.1", "k", false), "b");
    add(2s, execution("a.1"));
    add(3s, execution("b.1"));
    check_violations("at_most_once ");
}

TEST(checker, a_request_to_a_leaving_worker_after_the_grace_period_is_found)
{
    add(1s, history::worker_leaving{worker_id("w1")});
    add(5s, execution("a.1"));
    add(7s, execution("a.2"));
    check_violations("leaving_target ");
}

TEST(checker, a_graceful_stop_that_leaves_a_request_unanswered_is_found)
{
    add(1s, history::node_started{1});
    add(2s, accepted("a.1"));
    add(3s, history::node_draining{});
    add(4s, history::node_stopped{});
    check_violations("graceful_shutdown ");
}

TEST(checker, a_graceful_stop_that_aborts_a_running_request_is_found)
{
    add(2s, accepted("a.1"));
    add(2s, history::request_dispatched{request_id("a.1"), target_id("e-w1")});
    add(3s, history::node_draining{});
    add(4s, history::request_refused{request_id("a.1"), verdict::may_have_run, reason::draining});
    check_violations("graceful_shutdown ");
}

TEST(checker, a_configuration_that_reverts_after_a_restart_is_found)
{
    add(1s, history::config_in_force{7});
    add(2s, history::node_started{2});
    add(2s, history::config_in_force{0});
    add(3s, history::config_in_force{6});
    check_violations("config_never_reverts ");
}

TEST(checker, a_configuration_that_is_late_on_a_healthy_node_is_found)
{
    add(0s, history::node_started{1});
    add(1s, history::config_committed{5}, "emulator");
    add(8s, history::config_in_force{5});
    check_violations("config_in_force ");
}

TEST(checker, a_late_configuration_on_a_paused_node_is_no_violation)
{
    add(0s, history::node_started{1});
    add(1s, history::config_committed{5}, "emulator");
    add(2s, history::fault_injected{vm_id("a"), "pause"}, "chaos");
    add(9s, history::fault_healed{vm_id("a"), "pause"}, "chaos");
    add(10s, history::config_in_force{5});
    check_violations("");
}

TEST(checker, two_owners_of_a_group_in_one_epoch_are_found)
{
    add(1s, history::lease_changed{data_centre_id("n"), 1, 4, true});
    add(2s, history::lease_changed{data_centre_id("n"), 1, 4, true}, "b");
    check_violations("one_owner ");
}
