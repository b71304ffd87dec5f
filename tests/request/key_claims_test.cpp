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

/// Two entry VMs that share a table. Tests lose, delay or duplicate its replies.
class claim_fixture
{
public:
    explicit claim_fixture(bool check_versions = true) : m_check_versions(check_versions)
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
        const request_id id("r" + std::to_string(++m_last_request));
        m_row_key_by_request[id] = claim_row_key(caller_id("c"), idempotency_key(key));
        handle(vm, claim_requested{id, m_row_key_by_request[id], request_fingerprint({}, body)});
    }

    void end(std::size_t vm, const request_id& id, verdict result_verdict)
    {
        if (result_verdict != verdict::not_run)
            ++m_runs[m_row_key_by_request[id]];
        std::optional<stored_answer> answer;
        if (result_verdict == verdict::ran)
            answer = stored_answer{200, "text/plain", id.m_value};
        handle(vm, claim_ended{id, result_verdict, answer});
    }

    void finish_oldest(std::size_t vm, verdict result_verdict)
    {
        if (m_granted[vm].empty())
            return;
        const auto id = m_granted[vm].front();
        m_granted[vm].pop_front();
        end(vm, id, result_verdict);
    }

    /// Applies the oldest commit of a VM and delivers, loses or duplicates the reply.
    void commit(std::size_t vm, bool lose_reply, bool duplicate_reply)
    {
        if (m_commits[vm].empty())
            return;
        const auto call = m_commits[vm].front();
        m_commits[vm].pop_front();
        auto writes = call.m_writes;
        if (!m_check_versions)
            for (auto& write : writes)
                write.m_expected_version = version_of(write.m_key);
        const auto result = m_table.commit(writes);
        const auto reply = lose_reply ? claims_committed{call.m_call, fail(verdict::may_have_run,
                                                                           reason::timeout, "lost")}
                                      : claims_committed{call.m_call, result};
        handle(vm, reply);
        if (duplicate_reply)
            handle(vm, reply);
    }

    /// Reports an unknown outcome for the oldest commit of a VM, which may be applied later.
    void delay_commit(std::size_t vm)
    {
        if (m_commits[vm].empty())
            return;
        const auto call = m_commits[vm].front();
        m_commits[vm].pop_front();
        m_late_commits.push_back(call.m_writes);
        handle(vm,
               claims_committed{call.m_call, fail(verdict::may_have_run, reason::timeout, "late")});
    }

    void apply_late_commit()
    {
        if (m_late_commits.empty())
            return;
        if (m_check_versions)
            m_table.commit(m_late_commits.front());
        m_late_commits.pop_front();
    }

    void fail_commit(std::size_t vm)
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
        for (auto& action : m_vms[vm].handle(event, m_now, m_wall_now))
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

    /// The largest number of possible runs of any key, including granted requests in progress.
    int max_runs() const
    {
        auto runs = m_runs;
        for (const auto& granted : m_granted)
            for (const auto& id : granted)
                ++runs[m_row_key_by_request.at(id)];
        int maximum = 0;
        for (const auto& [row, count] : runs)
            maximum = std::max(maximum, count);
        return maximum;
    }

    std::uint64_t version_of(const std::string& key) const
    {
        const auto rows = m_table.scan(key);
        return rows.empty() ? 0 : rows.front().m_version;
    }

    bool m_check_versions;
    instant m_now{1000s};
    wall_time m_wall_now{std::chrono::seconds(1000000)};
    emulator::table_store m_table;
    std::set<vm_id> m_dead;
    std::vector<key_claims> m_vms;
    std::deque<commit_claims> m_commits[2];
    std::deque<std::vector<platform::row_write>> m_late_commits;
    std::deque<request_id> m_granted[2];
    std::vector<claim_answered> m_answered;
    std::vector<claim_refused> m_refused;
    std::map<std::string, int> m_runs;
    std::map<request_id, std::string> m_row_key_by_request;
    int m_last_request = 0;
};

void random_step(claim_fixture& fixture, unsigned choice)
{
    const std::size_t vm = choice % 2;
    const std::string key = (choice / 2) % 2 == 0 ? "k1" : "k2";
    fixture.m_now += 300ms;
    switch ((choice / 4) % 10)
    {
    case 0:
    case 1:
        return fixture.request(vm, key);
    case 2:
        return fixture.commit(vm, false, false);
    case 3:
        return fixture.commit(vm, true, false);
    case 4:
        return fixture.commit(vm, false, true);
    case 5:
        return fixture.delay_commit(vm);
    case 6:
        return fixture.apply_late_commit();
    case 7:
        return fixture.finish_oldest(vm, static_cast<verdict>((choice / 40) % 3));
    case 8:
        return fixture.fail_commit(vm);
    default:
        return fixture.handle(vm, claims_tick{});
    }
}

int max_runs_of(const std::vector<unsigned>& steps, bool check_versions)
{
    claim_fixture fixture(check_versions);
    for (const auto step : steps)
        random_step(fixture, step);
    return fixture.max_runs();
}

rc::Gen<std::vector<unsigned>> steps()
{
    return rc::gen::container<std::vector<unsigned>>(150, rc::gen::inRange(0U, 120U));
}

void check_refused(const claim_fixture& fixture, verdict expected_verdict, reason expected_reason)
{
    CHECK_FALSE(fixture.m_refused.empty());
    const auto& refused = fixture.m_refused.back().m_failure;
    CHECK_EQUAL(std::string(to_string(expected_verdict)),
                std::string(to_string(refused.m_verdict)));
    CHECK_EQUAL(std::string(to_string(expected_reason)), std::string(to_string(refused.m_reason)));
}

} // namespace

TEST_GROUP(key_claims)
{
    claim_fixture m_fixture;

    void request_and_finish_at_a(verdict result_verdict)
    {
        m_fixture.request(0, "k");
        m_fixture.commit(0, false, false);
        m_fixture.finish_oldest(0, result_verdict);
        m_fixture.commit(0, false, false);
    }

    void request_at_b()
    {
        m_fixture.request(1, "k");
        m_fixture.commit(1, false, false);
    }
};

TEST(key_claims, a_key_runs_at_most_once_when_replies_are_lost_late_or_duplicated)
{
    CHECK(rc::check([] { RC_ASSERT(max_runs_of(*steps(), true) <= 1); }));
}

TEST(key_claims, a_key_can_run_twice_if_the_table_ignores_the_expected_version)
{
    bool duplicate_run = false;
    rc::check([&] { duplicate_run = duplicate_run || max_runs_of(*steps(), false) > 1; });
    CHECK(duplicate_run);
}

TEST(key_claims, a_request_is_dispatched_only_after_its_claim_is_committed)
{
    m_fixture.request(0, "k");
    CHECK(m_fixture.m_granted[0].empty());
    m_fixture.commit(0, false, false);
    CHECK_EQUAL(1, m_fixture.m_granted[0].size());
}

TEST(key_claims, pending_claims_share_one_commit_and_only_one_is_in_flight)
{
    for (int i = 0; i < 50; ++i)
        m_fixture.request(0, "k" + std::to_string(i));
    CHECK_EQUAL(1, m_fixture.m_commits[0].size());
    m_fixture.commit(0, false, false);
    CHECK_EQUAL(1, m_fixture.m_commits[0].size());
    CHECK_EQUAL(49, m_fixture.m_commits[0].front().m_writes.size());
}

TEST(key_claims, a_lost_commit_reply_is_resolved_by_finding_the_row_of_the_claim)
{
    m_fixture.request(0, "k");
    m_fixture.commit(0, true, false);
    CHECK(m_fixture.m_granted[0].empty());
    m_fixture.commit(0, false, false);
    CHECK_EQUAL(1, m_fixture.m_granted[0].size());
}

TEST(key_claims, the_same_key_through_another_entry_vm_gets_the_stored_answer)
{
    request_and_finish_at_a(verdict::ran);
    request_at_b();
    CHECK(m_fixture.m_granted[1].empty());
    CHECK_EQUAL(1, m_fixture.m_answered.size());
    CHECK_EQUAL(std::string("r1"), m_fixture.m_answered.front().m_answer.m_body);
}

TEST(key_claims, a_key_whose_request_is_in_progress_elsewhere_is_refused_as_not_run)
{
    m_fixture.request(0, "k");
    m_fixture.commit(0, false, false);
    request_at_b();
    check_refused(m_fixture, verdict::not_run, reason::key_in_use);
}

TEST(key_claims, a_key_with_another_body_is_refused)
{
    request_and_finish_at_a(verdict::ran);
    m_fixture.request(1, "k", "another");
    m_fixture.commit(1, false, false);
    check_refused(m_fixture, verdict::not_run, reason::key_in_use);
}

TEST(key_claims, a_key_held_by_a_dead_entry_vm_is_unresolved)
{
    m_fixture.request(0, "k");
    m_fixture.commit(0, false, false);
    m_fixture.m_dead.insert(vm_id("a"));
    request_at_b();
    check_refused(m_fixture, verdict::may_have_run, reason::key_unresolved);
}

TEST(key_claims, a_request_that_was_not_run_releases_its_key)
{
    request_and_finish_at_a(verdict::not_run);
    request_at_b();
    CHECK_EQUAL(1, m_fixture.m_granted[1].size());
}

TEST(key_claims, while_the_table_is_down_a_claim_is_refused_immediately)
{
    m_fixture.request(0, "k");
    m_fixture.fail_commit(0);
    check_refused(m_fixture, verdict::not_run, reason::platform_unavailable);
    m_fixture.request(0, "k");
    m_fixture.fail_commit(0);
    CHECK_EQUAL(2, m_fixture.m_refused.size());
    CHECK_EQUAL(0, m_fixture.m_vms[0].size());
}

TEST(key_claims, expired_claims_are_deleted)
{
    request_and_finish_at_a(verdict::ran);
    m_fixture.m_wall_now += std::chrono::hours(25);
    for (int i = 0; i < 256; ++i)
    {
        m_fixture.m_now += 10s;
        m_fixture.handle(1, claims_tick{});
        m_fixture.commit(1, false, false);
    }
    CHECK(m_fixture.m_table.scan(claim_prefix).empty());
}
