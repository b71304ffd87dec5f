#include "dragonflygap/request/peer_forwards.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(peer_forwards)
{
    const vm_id m_peer{"b"};
    event_loop m_loop;
    std::vector<cluster::body> m_sent;
    std::vector<http_response> m_answers;
    std::vector<failure> m_failures;
    forwarded_requests m_forwards{m_loop,
                                  {.m_to_peer = [this](const vm_id&, cluster::body body)
                                   { m_sent.push_back(std::move(body)); },
                                   .m_on_answered = [this](const request_id&, http_response answer)
                                   { m_answers.push_back(std::move(answer)); },
                                   .m_on_failed = [this](const request_id&, failure error)
                                   { m_failures.push_back(std::move(error)); }}};

    std::uint64_t forward()
    {
        m_forwards.send({.m_id = request_id("r"), .m_deadline = monotonic_clock::now() + 100s}, "",
                        m_peer);
        return std::get<cluster::forwarded_request>(m_sent.back()).m_call;
    }
};

TEST(peer_forwards, a_duplicate_answer_is_delivered_once)
{
    const auto call = forward();
    m_forwards.on_answer(m_peer, {.m_call = call, .m_status = 200});
    m_forwards.on_answer(m_peer, {.m_call = call, .m_status = 200});
    CHECK_EQUAL(1, m_answers.size());
}

TEST(peer_forwards, an_answer_from_another_peer_is_ignored)
{
    m_forwards.on_answer(vm_id("c"), {.m_call = forward(), .m_status = 200});
    CHECK(m_answers.empty());
}

TEST(peer_forwards, a_call_that_was_not_sent_is_reported_as_not_run)
{
    m_forwards.on_not_sent(forward());
    CHECK(m_failures.at(0).m_verdict == verdict::not_run);
}

TEST(peer_forwards, a_call_to_a_dead_peer_is_reported_as_may_have_run)
{
    forward();
    m_forwards.on_peer_lost(m_peer);
    CHECK(m_failures.at(0).m_verdict == verdict::may_have_run);
}

TEST(peer_forwards, a_call_to_a_replaced_process_is_reported_as_may_have_run)
{
    m_forwards.on_peer_incarnation(m_peer, 1);
    const auto call = forward();
    m_forwards.on_peer_incarnation(m_peer, 1);
    CHECK(m_failures.empty());
    m_forwards.on_peer_incarnation(m_peer, 2);
    CHECK(m_failures.at(0).m_verdict == verdict::may_have_run);
    m_forwards.on_answer(m_peer, {.m_call = call, .m_status = 200});
    CHECK(m_answers.empty());
}

TEST(peer_forwards, cancelling_a_request_notifies_the_peer)
{
    const auto call = forward();
    CHECK(m_forwards.cancel(request_id("r")));
    CHECK_EQUAL(call, std::get<cluster::forwarded_cancel>(m_sent.back()).m_call);
    CHECK_FALSE(m_forwards.cancel(request_id("r")));
}

TEST(peer_forwards, calls_of_a_replaced_process_are_not_admitted)
{
    received_calls received;
    CHECK(received.admit(m_peer, 2, 7, request_id("r")));
    CHECK_FALSE(received.admit(m_peer, 1, 8, request_id("s")));
    CHECK(received.admit(m_peer, 3, 7, request_id("t")));
}
