#include <rapidcheck.h>

#include "support/scheduler_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

namespace
{

constexpr int targets = 2;
constexpr int slots = 2;

/// Plays callers, targets and peers at random and checks after every event what must always hold.
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
            return hear_peer();
        case 12:
            return change_targets();
        default:
            m_driver.pass(*rc::gen::inRange(0, 200) * 1ms);
            note_actions();
            return check_deadlines();
        }
    }

    /// Ends what is open; afterwards every request has its one final action.
    void finish()
    {
        m_driver.targets(targets, slots);
        note_actions();
        for (int i = 0; i < 10000 && !all_ended(); ++i)
        {
            while (!m_running.empty())
                end(*m_running.begin(), {}, true);
            while (!m_at_peers.empty())
                answer_peer(*m_at_peers.begin(), verdict::not_run, false);
            m_driver.pass(50ms);
            note_actions();
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
        int m_finals = 0;
        int m_forwards = 0;
        target_id m_target;
        instant m_deadline{};
    };

    bool all_ended() const
    {
        return std::ranges::all_of(m_records,
                                   [](const auto& item) { return item.second.m_finals == 1; });
    }

    std::string pick(const std::set<std::string>& from)
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
        note_actions();
    }

    void end(std::string id, const outcome<void>& result, bool slot_free)
    {
        auto& record = m_records[id];
        m_running.erase(id);
        if (slot_free)
            --m_used[record.m_target];
        else
            m_lingering.insert(id);
        if (result)
            ++record.m_finals;
        else if (result.error().m_verdict != verdict::not_run)
            record.m_may_have_run = true;
        m_driver.send(request_ended{request_id(id), result, slot_free});
        note_actions();
    }

    void succeed()
    {
        if (!m_running.empty())
            end(pick(m_running), {}, true);
    }

    void fail_attempt()
    {
        if (m_running.empty())
            return;
        const bool sent = *rc::gen::arbitrary<bool>();
        const auto why = *rc::gen::element(reason::target_unreachable, reason::target_failed,
                                           reason::timeout, reason::bad_request);
        end(pick(m_running), fail(sent ? verdict::may_have_run : verdict::not_run, why, ""),
            !sent || *rc::gen::arbitrary<bool>());
    }

    void free_slot()
    {
        if (m_lingering.empty())
            return;
        const auto id = pick(m_lingering);
        m_lingering.erase(id);
        --m_used[m_records[id].m_target];
        m_driver.send(slot_freed{request_id(id)});
        note_actions();
    }

    void cancel()
    {
        if (m_records.empty())
            return;
        const int last = static_cast<int>(m_records.size());
        m_driver.send(request_cancelled{request_id(std::to_string(*rc::gen::inRange(0, last)))});
        note_actions();
    }

    void answer_peer(std::string id, verdict what, bool ran)
    {
        auto& record = m_records[id];
        m_at_peers.erase(id);
        if (ran)
        {
            ++record.m_finals;
            m_driver.send(request_ended{request_id(id), {}});
        }
        else
        {
            record.m_may_have_run |= what != verdict::not_run;
            m_driver.send(forward_failed{request_id(id), {what, reason::queue_full, ""}});
        }
        note_actions();
    }

    void answer_forward()
    {
        if (!m_at_peers.empty())
            answer_peer(pick(m_at_peers),
                        *rc::gen::element(verdict::not_run, verdict::may_have_run),
                        *rc::gen::arbitrary<bool>());
    }

    void change_targets()
    {
        m_driver.targets(*rc::gen::inRange(0, targets + 1), slots, *rc::gen::arbitrary<bool>());
        note_actions();
    }

    void hear_peer()
    {
        m_driver.m_now += 1ms;
        m_driver.send(peers_changed{{{.m_vm = vm_id("peer"),
                                      .m_free_slots = *rc::gen::inRange<std::uint32_t>(0, 4),
                                      .m_updated_at = m_driver.m_now}}});
        note_actions();
    }

    void check_deadlines() const
    {
        for (const auto& [id, record] : m_records)
            RC_ASSERT(record.m_finals == 1 || m_running.contains(id) || m_at_peers.contains(id) ||
                      record.m_deadline > m_driver.m_now);
    }

    void note_actions()
    {
        for (const auto& [id, action] : m_driver.m_dispatched)
        {
            auto& record = m_records[id];
            RC_ASSERT(record.m_finals == 0);
            RC_ASSERT(record.m_idempotent || !record.m_may_have_run);
            RC_ASSERT(!m_running.contains(id) && !m_at_peers.contains(id));
            RC_ASSERT(!m_lingering.contains(id));
            record.m_target = action.m_target;
            RC_ASSERT(++m_used[action.m_target] <= slots);
            m_running.insert(id);
        }
        for (const auto& [id, peer] : m_driver.m_forwarded)
        {
            RC_ASSERT(++m_records[id].m_forwards == 1);
            RC_ASSERT(!m_records[id].m_may_have_run);
            m_at_peers.insert(id);
        }
        for (const auto& [id, why] : m_driver.m_refused)
        {
            RC_ASSERT(why.m_verdict == verdict::not_run && !m_records[id].m_may_have_run);
            note_final(id);
        }
        for (const auto& [id, why] : m_driver.m_failed)
        {
            RC_ASSERT(why.m_verdict != verdict::not_run || !m_records[id].m_may_have_run);
            note_final(id);
        }
        // The answer to an abort is an event of its own, with actions of its own.
        const auto aborted = m_driver.m_aborted;
        for (const auto& id : aborted)
            abort(id);
    }

    void note_final(const std::string& id)
    {
        RC_ASSERT(!m_running.contains(id) && !m_at_peers.contains(id));
        RC_ASSERT(++m_records[id].m_finals == 1);
    }

    /// What request_task does: stops the call, then says that the target may still run it.
    void abort(const std::string& id)
    {
        RC_ASSERT(++m_records[id].m_finals == 1);
        const bool running = m_running.erase(id) != 0;
        m_at_peers.erase(id);
        if (running)
            m_lingering.insert(id);
        m_driver.send(request_ended{request_id(id),
                                    fail(verdict::may_have_run, reason::cancelled, ""), false});
        note_actions();
    }

    test::scheduler_driver m_driver;
    std::map<std::string, request_record> m_records;
    std::set<std::string> m_running;
    std::set<std::string> m_lingering; ///< Ended, and perhaps still run by their target.
    std::set<std::string> m_at_peers;
    std::map<target_id, int> m_used;
};

} // namespace

TEST_GROUP(scheduler_property){};

TEST(scheduler_property, every_request_ends_once_within_the_slots_and_none_is_doubled)
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
