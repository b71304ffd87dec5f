#include "dragonflygap/cell/peer_messages.hpp"

#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

TEST_GROUP(peer_messages){};

TEST(peer_messages, an_answer_says_how_long_the_call_waited_at_the_vm)
{
    const auto read = decode_peer(
        encode(vm_id("vm"), approval_answer{.m_response_time_ms = 70, .m_waited_ms = 30}));
    CHECK_TRUE(read.has_value());
    const auto& answer = std::get<approval_answer>(read->m_message);
    LONGS_EQUAL(70, answer.m_response_time_ms);
    LONGS_EQUAL(30, answer.m_waited_ms);
}

TEST(peer_messages, without_that_member_a_call_counts_as_unsent)
{
    const std::tuple former(std::uint64_t{1}, step_key{}, std::vector<worker_id>{}, true,
                            approval{}, std::int64_t{0}, std::uint64_t{7}, std::int64_t{70});
    const auto read = unpack<approval_answer>(pack(former));
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(7, read->m_call);
    LONGS_EQUAL(-1, read->m_waited_ms);
}
