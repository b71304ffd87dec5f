#include "dragonflygap/request/request_task.hpp"

#include <map>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/observe/metrics.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

namespace
{

class fake_exchange : public http_exchange
{
public:
    void reply(const http_response& response) override { m_answers.push_back(response); }
    void on_hangup(std::function<void()> hook) override { m_hangup = std::move(hook); }

    std::string reason() const
    {
        return m_answers.empty() ? "none" : std::string(m_answers.back().header(reason_header));
    }

    std::vector<http_response> m_answers;
    std::function<void()> m_hangup;
};
using caller = std::shared_ptr<fake_exchange>;

} // namespace

TEST_GROUP(request_task)
{
    event_loop m_loop;
    metrics m_metrics;
    std::map<std::uint64_t, http_transport::done> m_calls; ///< Unanswered calls to executors.
    std::uint64_t m_last_call = 0;
    std::vector<claim_message> m_claims;
    std::vector<cluster::body> m_to_peers;
    request_task m_task{
        m_loop,
        m_metrics,
        {.m_vm = vm_id("a"),
         .m_incarnation = 1,
         .m_listen = {"127.0.0.1", 0},
         .m_to_executors = {.m_send =
                                [this](const endpoint&, const http_request&, duration,
                                       http_transport::done done)
                            {
                                m_calls[++m_last_call] = std::move(done);
                                return m_last_call;
                            },
                            .m_cancel = [this](http_transport::call_id call)
                            { m_calls.erase(call); },
                            .m_close_idle = [](const endpoint&) {}},
         .m_to_peer = [this](const vm_id&, cluster::body body)
         { m_to_peers.push_back(std::move(body)); },
         .m_to_claims = [this](claim_message message) { m_claims.push_back(std::move(message)); }}};

    void setup() override
    {
        m_task.handle(classes_changed{
            {{.m_name = class_id("tablet"), .m_deadline = 100s},
             {.m_name = class_id("order"), .m_deadline = 100s, .m_idempotent = false}},
            {}});
        add_target();
    }

    void add_target()
    {
        m_task.handle(targets_changed{
            {{.m_id = target_id("t"), .m_address = {"127.0.0.1", 1}, .m_slots = 4}}});
    }

    caller submit(const std::string& name, const std::string& key = {},
                  const std::string& body = "body")
    {
        auto exchange = std::make_shared<fake_exchange>();
        m_task.serve({.m_method = "POST",
                      .m_path = "/v1/requests/" + name,
                      .m_headers = {{"X-Dragonflygap-Caller", "c"}, {"Idempotency-Key", key}},
                      .m_body = body},
                     exchange);
        return exchange;
    }

    void answer_call(std::uint64_t call, int status = 200)
    {
        m_calls.extract(call).mapped()(http_response{.m_status = status, .m_body = "done"});
    }

    request_id requested_claim() const
    {
        return std::get<claim_requested>(m_claims.back()).m_request;
    }

    void receive_forwarded(std::uint64_t call, const std::string& id)
    {
        m_task.handle(from_peer{vm_id("b"), 1,
                                cluster::forwarded_request{.m_call = call,
                                                           .m_request = request_id(id),
                                                           .m_class = class_id("tablet"),
                                                           .m_hops = 1,
                                                           .m_deadline_ms = 100000}});
    }
};

TEST(request_task, an_order_with_a_key_is_dispatched_only_after_its_claim_is_granted)
{
    const auto waiting = submit("order", "k");
    CHECK_EQUAL(0, m_calls.size());
    m_task.handle(claim_granted{requested_claim()});
    CHECK_EQUAL(1, m_calls.size());
    answer_call(1);
    CHECK_EQUAL(200, waiting->m_answers.at(0).m_status);
    const auto& ended = std::get<claim_ended>(m_claims.back());
    CHECK(ended.m_verdict == verdict::ran);
    CHECK_EQUAL(std::string("done"), ended.m_answer->m_body);
}

TEST(request_task, a_refused_claim_is_answered_without_running_the_request)
{
    const auto waiting = submit("order", "k");
    m_task.handle(
        claim_refused{requested_claim(), {verdict::not_run, reason::platform_unavailable, ""}});
    CHECK_EQUAL(std::string("platform_unavailable"), waiting->reason());
    CHECK_EQUAL(0, m_calls.size());
}

TEST(request_task, a_claim_granted_after_its_caller_disconnected_is_released)
{
    const auto waiting = submit("order", "k");
    const auto id = requested_claim();
    waiting->m_hangup();
    m_task.handle(claim_granted{id});
    CHECK_EQUAL(0, m_calls.size());
    CHECK(std::get<claim_ended>(m_claims.back()).m_verdict == verdict::not_run);
}

TEST(request_task, duplicate_requests_share_one_run_and_later_get_the_cached_answer)
{
    const auto first = submit("tablet", "k");
    const auto second = submit("tablet", "k");
    CHECK_EQUAL(1, m_calls.size());
    answer_call(1);
    const auto third = submit("tablet", "k");
    CHECK_EQUAL(0, m_calls.size());
    for (const auto& each : {first, second, third})
        CHECK_EQUAL(std::string("done"), each->m_answers.at(0).m_body);
    CHECK_EQUAL(std::string("key_in_use"), submit("tablet", "k", "another")->reason());
}

TEST(request_task, a_request_is_cancelled_only_when_both_waiting_callers_have_disconnected)
{
    const auto first = submit("tablet", "k");
    const auto second = submit("tablet", "k");
    first->m_hangup();
    CHECK_EQUAL(1, m_calls.size());
    second->m_hangup();
    CHECK_EQUAL(0, m_calls.size());
}

TEST(request_task, one_call_cancels_a_thousand_requests_of_a_caller)
{
    std::vector<caller> waiting;
    for (int i = 0; i < 1000; ++i)
        waiting.push_back(submit("tablet"));
    const auto cancelling = std::make_shared<fake_exchange>();
    m_task.serve({.m_method = "DELETE",
                  .m_path = "/v1/requests",
                  .m_headers = {{"X-Dragonflygap-Caller", "c"}}},
                 cancelling);
    for (const auto& each : waiting)
        CHECK_EQUAL(1, each->m_answers.size());
    CHECK_EQUAL(0, m_calls.size());
    CHECK_EQUAL(200, cancelling->m_answers.at(0).m_status);
}

TEST(request_task, the_slot_of_a_cancelled_request_stays_held)
{
    for (int i = 0; i < 4; ++i)
        submit("tablet")->m_hangup();
    submit("tablet");
    CHECK_EQUAL(0, m_calls.size());
}

TEST(request_task, a_duplicate_forwarded_request_runs_once)
{
    receive_forwarded(1, "b.1.1");
    receive_forwarded(1, "b.1.1");
    CHECK_EQUAL(1, m_calls.size());
    answer_call(1);
    receive_forwarded(1, "b.1.1");
    CHECK_EQUAL(0, m_calls.size());
    CHECK_EQUAL(1, m_to_peers.size());
}

TEST(request_task, a_forwarded_request_is_cancelled_by_its_peer)
{
    receive_forwarded(1, "b.1.1");
    m_task.handle(from_peer{vm_id("b"), 1, cluster::forwarded_cancel{1}});
    CHECK_EQUAL(0, m_calls.size());
}
