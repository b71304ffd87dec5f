#include "dragonflygap/cluster/codec.hpp"

#include <rapidcheck.h>

#include "dragonflygap/cluster/message.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cluster;

TEST_GROUP(codec){};

TEST(codec, a_message_round_trips)
{
    const message sent{.m_from = vm_id("entry-1"),
                       .m_incarnation = 7,
                       .m_body = forwarded_request{.m_call = 9,
                                                   .m_request = request_id("r"),
                                                   .m_idempotent = false,
                                                   .m_body = std::string("\0x", 2)}};
    const auto read = decode(encode(sent));
    CHECK(read.has_value());
    CHECK(read->m_from == sent.m_from);
    const auto& body = std::get<forwarded_request>(read->m_body);
    CHECK(body.m_call == 9);
    CHECK(!body.m_idempotent);
    CHECK(body.m_body.size() == 2);
}

TEST(codec, random_bytes_are_rejected)
{
    CHECK(rc::check("random bytes never crash the decoder",
                    [](const std::string& bytes) { decode(bytes); }));
}

TEST(codec, a_truncated_message_is_rejected)
{
    const auto bytes = encode({.m_from = vm_id("entry-1"), .m_body = heartbeat{.m_sequence = 1}});
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(!decode(std::string_view(bytes).substr(0, size)).has_value());
}
