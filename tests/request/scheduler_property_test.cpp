#include <rapidcheck.h>

#include "support/scheduler_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

namespace
{

constexpr int targets = 2;
constexpr int slots = 2;

/// Generates random caller, target and peer events and checks the invariants after each one.
class random_run
{
public:
    random_run()
    {
        m_driver.classes({{.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
                          {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = 500ms}});
        m_driver.targets(targets, slots);
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 15))
        {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            return submit();
        case 5:
            return succeed();
        case 6:
            return fail_attempt();
        case 7:
            return free_slot();
        case 8:
            return cancel();
        case 9:
            return answer_forward();
        case 10:
        case 11:
            return update_peer();
        case 12:
            return change_targets();
        default:
            m_driver.advance(*rc::gen::inRange(0, 200) * 1ms);
            check_actions();
            return check_deadlines();
        }
    }

    /// Ends all open requests and checks that each one got exactly one final action.
    void finish()
    {
        m_driver.targets(targets, slots);
        check_actions();
        for (int i = 0; i < 10000 && !all_ended(); ++i)
        {
            while (!m_running.empty())
                end(*m_running.begin(), {}, true);
            while (!m_at_peers.empty())
                answer_peer(*m_at_peers.begin(), verdict::not_run, false);
            m_driver.advance(50ms);
            check_actions();
        }
        RC_ASSERT(all_ended());
        RC_ASSERT(m_driver.m_scheduler.open_requests() == 0U);
    }

private:
    struct request_record
    {
        bool m_idempotent = true;
        bool m_may_have_run = false;
        bool m_aborted = false;
        int m_final_actions = 0;
        int m_forwards = 0;
        target_id m_target;
        instant m_deadline{};
    };

    bool all_ended() const
    {
        return std::ranges::all_of(m_records, [](const auto& item)
                                   { return item.second.m_final_actions == 1; });
    }

    std::string pick_random(const std::set<std::string>& from)
    {
        auto chosen = from.begin();
        std::advance(chosen, *rc::gen::inRange<std::size_t>(0, from.size()));
        return *chosen;
    }

    void submit()
    {
        const auto id = std::to_string(m_records.size());
        auto& record = m_records[id];
        record.m_idempotent = *rc::gen::arbitrary<bool>();
        const duration deadline = *rc::gen::inRange(1, 5000) * 1ms;
        record.m_deadline = m_driver.m_now + deadline;
        m_driver.submit(id, *rc::gen::element<std::string>("tablet", "plan", "plan", "none"),
                        deadline, *rc::gen::element<std::string>("a", "b"), record.m_idempotent,
                        *rc::gen::inRange<std::uint32_t>(0, 2));
        check_actions();
    }

    void end(std::string id, const outcome<void>& result, bool slot_free)
    {
        auto& record = m_records[id];
        m_running.erase(id);
        if (slot_free)
            --m_used_slots[record.m_target];
        else
            m_holding_slot.insert(id);
        if (result)
            ++record.m_final_actions;
        else if (result.error().m_verdict != verdict::not_run)
            record.m_may_have_run = true;
        m_driver.send(request_ended{request_id(id), result, slot_free});
        check_actions();
    }

    void succeed()
    {
        if (!m_running.empty())
            end(pick_random(m_running), {}, true);
    }

    void fail_attempt()
    {
        if (m_running.empty())
            return;
        const bool sent = *rc::gen::arbitrary<bool>();
        const auto cause = *rc::gen::element(reason::target_unreachable, reason::target_failed,
                                             reason::timeout, reason::bad_request);
        end(pick_random(m_running),
            fail(sent ? verdict::may_have_run : verdict::not_run, cause, ""),
            !sent || *rc::gen::arbitrary<bool>());
    }

    void free_slot()
    {
        if (m_holding_slot.empty())
            return;
        const auto id = pick_random(m_holding_slot);
        m_holding_slot.erase(id);
        --m_used_slots[m_records[id].m_target];
        m_driver.send(slot_freed{request_id(id)});
        check_actions();
    }

    void cancel()
    {
        if (m_records.empty())
            return;
        const int last = static_cast<int>(m_records.size());
        m_driver.send(request_cancelled{request_id(std::to_string(*rc::gen::inRange(0, last)))});
        check_actions();
    }

    void answer_peer(std::string id, verdict result_verdict, bool ran)
    {
        auto& record = m_records[id];
        m_at_peers.erase(id);
        if (ran)
        {
            ++record.m_final_actions;
            m_driver.send(request_ended{request_id(id), {}});
        }
        else
        {
            record.m_may_have_run |= result_verdict != verdict::not_run;
            m_driver.send(forward_failed{request_id(id), {result_verdict, reason::queue_full, ""}});
        }
        check_actions();
    }

    void answer_forward()
    {
        if (!m_at_peers.empty())
            answer_peer(pick_random(m_at_peers),
                        *rc::gen::element(verdict::not_run, verdict::may_have_run),
                        *rc::gen::arbitrary<bool>());
    }

    void change_targets()
    {
        m_driver.targets(*rc::gen::inRange(0, targets + 1), slots, *rc::gen::arbitrary<bool>());
        check_actions();
    }

    void update_peer()
    {
        m_driver.m_now += 1ms;
        m_driver.send(peers_changed{{{.m_vm = vm_id("peer"),
                                      .m_free_slots = *rc::gen::inRange<std::uint32_t>(0, 4),
                                      .m_updated_at = m_driver.m_now}}});
        check_actions();
    }

    void check_deadlines() const
    {
        for (const auto& [id, record] : m_records)
            RC_ASSERT(record.m_final_actions == 1 || m_running.contains(id) ||
                      m_at_peers.contains(id) || record.m_deadline > m_driver.m_now);
    }

    void check_actions()
    {
        for (const auto& [id, action] : m_driver.m_dispatched)
        {
            auto& record = m_records[id];
            RC_ASSERT(record.m_final_actions == 0);
            RC_ASSERT(record.m_idempotent || !record.m_may_have_run);
            RC_ASSERT(!m_running.contains(id) && !m_at_peers.contains(id));
            RC_ASSERT(!m_holding_slot.contains(id));
            record.m_target = action.m_target;
            RC_ASSERT(++m_used_slots[action.m_target] <= slots);
            m_running.insert(id);
        }
        for (const auto& [id, peer] : m_driver.m_forwarded)
        {
            RC_ASSERT(++m_records[id].m_forwards == 1);
            RC_ASSERT(!m_records[id].m_may_have_run);
            m_at_peers.insert(id);
        }
        for (const auto& [id, error] : m_driver.m_refused)
        {
            RC_ASSERT(error.m_verdict == verdict::not_run && !m_records[id].m_may_have_run);
            record_final_action(id);
        }
        for (const auto& [id, error] : m_driver.m_failed)
        {
            RC_ASSERT(error.m_verdict != verdict::not_run || !m_records[id].m_may_have_run);
            record_final_action(id);
        }
        // Confirming an abort sends an event, which replaces the recorded actions.
        const auto aborted = m_driver.m_aborted;
        for (const auto& id : aborted)
            confirm_abort(id);
    }

    void record_final_action(const std::string& id)
    {
        RC_ASSERT(!m_running.contains(id) && !m_at_peers.contains(id));
        RC_ASSERT(++m_records[id].m_final_actions == 1);
    }

    /// Acts like request_task: cancels the call and reports that the target may still run it.
    void confirm_abort(const std::string& id)
    {
        RC_ASSERT(++m_records[id].m_final_actions == 1);
        const bool running = m_running.erase(id) != 0;
        m_at_peers.erase(id);
        if (running)
            m_holding_slot.insert(id);
        m_driver.send(request_ended{request_id(id),
                                    fail(verdict::may_have_run, reason::cancelled, ""), false});
        check_actions();
    }

    test::scheduler_driver m_driver;
    std::map<std::string, request_record> m_records;
    std::set<std::string> m_running;
    std::set<std::string> m_holding_slot; ///< Ended, but may still run at their target.
    std::set<std::string> m_at_peers;
    std::map<target_id, int> m_used_slots;
};

} // namespace

TEST_GROUP(scheduler_property){};

TEST(scheduler_property, every_request_ends_once_within_the_slot_limits_and_none_is_duplicated)
{
    CHECK(rc::check(
        []
        {
            random_run run;
            const int steps = *rc::gen::inRange(100, 500);
            for (int i = 0; i < steps; ++i)
                run.step();
            run.finish();
        }));
}
