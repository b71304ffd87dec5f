#include "dragonflygap/request/key_claims.hpp"

#include <deque>
#include <set>

#include <rapidcheck.h>

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

namespace
{

/// Entry VMs with one table whose replies are lost, late or doubled as a test decides.
class claim_world
{
public:
    explicit claim_world(bool guarded = true) : m_guarded(guarded)
    {
        for (const char* name : {"a", "b"})
            m_vms.emplace_back(
                key_claims({.m_vm = vm_id(name),
                            .m_incarnation = 1,
                            .m_is_holder_alive = [this](const vm_id& vm, std::uint64_t)
                            { return !m_dead.contains(vm); }}));
    }

    void request(std::size_t vm, const std::string& key, const std::string& body = "body")
    {
        const request_id id("r" + std::to_string(++m_last));
        m_row_of[id] = claim_row_key(caller_id("c"), idempotency_key(key));
        handle(vm, claim_requested{id, m_row_of[id], request_fingerprint({}, body)});
    }

    void end(std::size_t vm, const request_id& id, verdict what)
    {
        if (what != verdict::not_run)
            ++m_runs[m_row_of[id]];
        std::optional<kept_answer> answer;
        if (what == verdict::ran)
            answer = kept_answer{200, "text/plain", id.m_value};
        handle(vm, claim_ended{id, what, answer});
    }

    void end_oldest(std::size_t vm, verdict what)
    {
        if (m_granted[vm].empty())
            return;
        const auto id = m_granted[vm].front();
        m_granted[vm].pop_front();
        end(vm, id, what);
    }

    /// Takes the oldest commit of a VM to the table; its reply comes or is lost.
    void commit(std::size_t vm, bool lose_reply, bool doubled)
    {
        if (m_commits[vm].empty())
            return;
        const auto call = m_commits[vm].front();
        m_commits[vm].pop_front();
        auto writes = call.m_writes;
        if (!m_guarded)
            for (auto& write : writes)
                write.m_expected_version = version_of(write.m_key);
        const auto result = m_table.commit(writes);
        const auto reply = lose_reply ? claims_committed{call.m_call, fail(verdict::may_have_run,
                                                                           reason::timeout, "lost")}
                                      : claims_committed{call.m_call, result};
        handle(vm, reply);
        if (doubled)
            handle(vm, reply);
    }

    /// Reports the oldest commit of a VM as lost; it takes effect later.
    void delay(std::size_t vm)
    {
        if (m_commits[vm].empty())
            return;
        const auto call = m_commits[vm].front();
        m_commits[vm].pop_front();
        m_late.push_back(call.m_writes);
        handle(vm,
               claims_committed{call.m_call, fail(verdict::may_have_run, reason::timeout, "late")});
    }

    void take_effect_late()
    {
        if (m_late.empty())
            return;
        if (m_guarded)
            m_table.commit(m_late.front());
        m_late.pop_front();
    }

    void table_down(std::size_t vm)
    {
        if (m_commits[vm].empty())
            return;
        const auto call = m_commits[vm].front();
        m_commits[vm].pop_front();
        handle(vm, claims_committed{call.m_call,
                                    fail(verdict::not_run, reason::platform_unavailable, "down")});
    }

    void handle(std::size_t vm, const claims_event& event)
    {
        for (auto& action : m_vms[vm].handle(event, m_now, m_today))
        {
            if (auto* commit = std::get_if<commit_claims>(&action))
                m_commits[vm].push_back(*commit);
            if (auto* granted = std::get_if<claim_granted>(&action))
                m_granted[vm].push_back(granted->m_request);
            if (auto* answered = std::get_if<claim_answered>(&action))
                m_answered.push_back(*answered);
            if (auto* refused = std::get_if<claim_refused>(&action))
                m_refused.push_back(*refused);
            if (auto* scan = std::get_if<scan_claims>(&action))
                handle(vm, claims_scanned{m_table.scan(scan->m_prefix)});
        }
    }

    /// Runs or possible runs of one key, counting those that are granted and not ended.
    int most_runs() const
    {
        auto runs = m_runs;
        for (const auto& granted : m_granted)
            for (const auto& id : granted)
                ++runs[m_row_of.at(id)];
        int most = 0;
        for (const auto& [row, count] : runs)
            most = std::max(most, count);
        return most;
    }

    std::uint64_t version_of(const std::string& key) const
    {
        const auto rows = m_table.scan(key);
        return rows.empty() ? 0 : rows.front().m_version;
    }

    bool m_guarded;
    instant m_now{1000s};
    wall_time m_today{std::chrono::seconds(1000000)};
    emulator::table_store m_table;
    std::set<vm_id> m_dead;
    std::vector<key_claims> m_vms;
    std::deque<commit_claims> m_commits[2];
    std::deque<std::vector<platform::row_write>> m_late;
    std::deque<request_id> m_granted[2];
    std::vector<claim_answered> m_answered;
    std::vector<claim_refused> m_refused;
    std::map<std::string, int> m_runs;
    std::map<request_id, std::string> m_row_of;
    int m_last = 0;
};

void random_step(claim_world& world, unsigned choice)
{
    const std::size_t vm = choice % 2;
    const std::string key = (choice / 2) % 2 == 0 ? "k1" : "k2";
    world.m_now += 300ms;
    switch ((choice / 4) % 10)
    {
    case 0:
    case 1:
        return world.request(vm, key);
    case 2:
        return world.commit(vm, false, false);
    case 3:
        return world.commit(vm, true, false);
    case 4:
        return world.commit(vm, false, true);
    case 5:
        return world.delay(vm);
    case 6:
        return world.take_effect_late();
    case 7:
        return world.end_oldest(vm, static_cast<verdict>((choice / 40) % 3));
    case 8:
        return world.table_down(vm);
    default:
        return world.handle(vm, claims_tick{});
    }
}

int most_runs_of(const std::vector<unsigned>& steps, bool guarded)
{
    claim_world world(guarded);
    for (const auto step : steps)
        random_step(world, step);
    return world.most_runs();
}

rc::Gen<std::vector<unsigned>> steps()
{
    return rc::gen::container<std::vector<unsigned>>(150, rc::gen::inRange(0U, 120U));
}

void check_refused(const claim_world& world, verdict what, reason why)
{
    CHECK_FALSE(world.m_refused.empty());
    const auto& refused = world.m_refused.back().m_failure;
    CHECK_EQUAL(std::string(to_string(what)), std::string(to_string(refused.m_verdict)));
    CHECK_EQUAL(std::string(to_string(why)), std::string(to_string(refused.m_reason)));
}

} // namespace

TEST_GROUP(key_claims)
{
    claim_world m_world;

    void run_at_a(verdict what)
    {
        m_world.request(0, "k");
        m_world.commit(0, false, false);
        m_world.end_oldest(0, what);
        m_world.commit(0, false, false);
    }

    void ask_at_b()
    {
        m_world.request(1, "k");
        m_world.commit(1, false, false);
    }
};

TEST(key_claims, a_key_runs_at_most_once_however_replies_are_lost_late_or_doubled)
{
    CHECK(rc::check([] { RC_ASSERT(most_runs_of(*steps(), true) <= 1); }));
}

TEST(key_claims, the_property_fails_when_the_table_ignores_the_expected_version)
{
    bool doubled = false;
    rc::check([&] { doubled = doubled || most_runs_of(*steps(), false) > 1; });
    CHECK(doubled);
}

TEST(key_claims, a_request_is_dispatched_only_after_its_claim_is_committed)
{
    m_world.request(0, "k");
    CHECK(m_world.m_granted[0].empty());
    m_world.commit(0, false, false);
    CHECK_EQUAL(1, m_world.m_granted[0].size());
}

TEST(key_claims, claims_that_wait_share_one_commit_and_only_one_is_under_way)
{
    for (int i = 0; i < 50; ++i)
        m_world.request(0, "k" + std::to_string(i));
    CHECK_EQUAL(1, m_world.m_commits[0].size());
    m_world.commit(0, false, false);
    CHECK_EQUAL(1, m_world.m_commits[0].size());
    CHECK_EQUAL(49, m_world.m_commits[0].front().m_writes.size());
}

TEST(key_claims, a_lost_reply_is_resolved_by_recognising_the_own_row)
{
    m_world.request(0, "k");
    m_world.commit(0, true, false);
    CHECK(m_world.m_granted[0].empty());
    m_world.commit(0, false, false);
    CHECK_EQUAL(1, m_world.m_granted[0].size());
}

TEST(key_claims, the_same_key_through_another_entry_vm_gets_the_kept_answer)
{
    run_at_a(verdict::ran);
    ask_at_b();
    CHECK(m_world.m_granted[1].empty());
    CHECK_EQUAL(1, m_world.m_answered.size());
    CHECK_EQUAL(std::string("r1"), m_world.m_answered.front().m_answer.m_body);
}

TEST(key_claims, a_key_whose_request_is_under_way_elsewhere_is_refused_as_not_run)
{
    m_world.request(0, "k");
    m_world.commit(0, false, false);
    ask_at_b();
    check_refused(m_world, verdict::not_run, reason::key_in_use);
}

TEST(key_claims, a_key_with_another_body_is_refused)
{
    run_at_a(verdict::ran);
    m_world.request(1, "k", "another");
    m_world.commit(1, false, false);
    check_refused(m_world, verdict::not_run, reason::key_in_use);
}

TEST(key_claims, a_key_held_by_a_dead_entry_vm_is_unresolved)
{
    m_world.request(0, "k");
    m_world.commit(0, false, false);
    m_world.m_dead.insert(vm_id("a"));
    ask_at_b();
    check_refused(m_world, verdict::may_have_run, reason::key_unresolved);
}

TEST(key_claims, a_request_that_was_not_run_gives_its_key_back)
{
    run_at_a(verdict::not_run);
    ask_at_b();
    CHECK_EQUAL(1, m_world.m_granted[1].size());
}

TEST(key_claims, while_the_table_is_down_a_claim_is_refused_at_once)
{
    m_world.request(0, "k");
    m_world.table_down(0);
    check_refused(m_world, verdict::not_run, reason::platform_unavailable);
    m_world.request(0, "k");
    m_world.table_down(0);
    CHECK_EQUAL(2, m_world.m_refused.size());
    CHECK_EQUAL(0, m_world.m_vms[0].size());
}

TEST(key_claims, expired_claims_are_swept)
{
    run_at_a(verdict::ran);
    m_world.m_today += std::chrono::hours(25);
    for (int i = 0; i < 256; ++i)
    {
        m_world.m_now += 10s;
        m_world.handle(1, claims_tick{});
        m_world.commit(1, false, false);
    }
    CHECK(m_world.m_table.scan(claim_prefix).empty());
}
