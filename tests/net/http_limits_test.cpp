#include "dragonflygap/net/http_limits.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

constexpr std::size_t mb = 1 << 20;

std::size_t all_bytes(const http_shares& shares)
{
    return shares.m_callers.m_max_buffered_bytes + shares.m_operators.m_max_buffered_bytes +
           shares.m_readiness.m_max_buffered_bytes;
}

std::size_t all_connections(const http_shares& shares)
{
    return shares.m_callers.m_max_connections + shares.m_operators.m_max_connections +
           shares.m_readiness.m_max_connections;
}

} // namespace

TEST_GROUP(http_limits){};

// Limits known to callers: docs/design/hard-load.md.
TEST(http_limits, no_client_within_the_limits_of_the_configuration_reaches_a_default)
{
    const http_limits limits;
    CHECK_COMPARE(limits.m_max_head_bytes, >, 16384);
    CHECK(limits.m_head_timeout > duration(3000ms));
    CHECK(limits.m_idle_timeout > duration(15000ms));
    CHECK(limits.m_body_timeout > duration(15000ms));
    CHECK_COMPARE(limits.m_max_buffered_bytes, >, 64 * 262144);
}

TEST(http_limits, entry_vms_keep_most_memory_and_half_of_the_descriptors_for_other_work)
{
    for (const std::size_t memory_mb : {120, 256, 512})
        for (const std::size_t descriptors : {3075, 10250})
        {
            const auto shares = divide({.m_memory_bytes = memory_mb * mb,
                                        .m_descriptors = descriptors,
                                        .m_max_body_bytes = mb});
            CHECK_COMPARE(all_bytes(shares), <=, memory_mb * mb / 8);
            CHECK_COMPARE(all_connections(shares), <=, descriptors * 3 / 5);
            // A few hundred callers with requests of a few KB.
            CHECK_COMPARE(shares.m_callers.m_max_buffered_bytes, >=, 500 * 8192);
            CHECK_COMPARE(shares.m_callers.m_max_connections, >=, 1000);
        }
}

TEST(http_limits, one_request_at_the_limit_fits_however_little_memory_there_is)
{
    constexpr std::size_t body_bytes = 16 * mb;
    const auto shares =
        divide({.m_memory_bytes = mb, .m_descriptors = 100, .m_max_body_bytes = body_bytes});
    CHECK_COMPARE(shares.m_callers.m_max_buffered_bytes, >, body_bytes);
    CHECK_COMPARE(shares.m_operators.m_max_buffered_bytes, >, body_bytes);
}

TEST(http_limits, few_descriptors_leave_some_for_each_server_and_for_other_work)
{
    const auto shares =
        divide({.m_memory_bytes = 120 * mb, .m_descriptors = 256, .m_max_body_bytes = mb});
    LONGS_EQUAL(128, shares.m_callers.m_max_connections);
    LONGS_EQUAL(16, shares.m_operators.m_max_connections);
    LONGS_EQUAL(16, shares.m_readiness.m_max_connections);
}

TEST(http_limits, settings_replace_what_is_derived)
{
    const auto shares = divide({.m_memory_bytes = 120 * mb,
                                .m_descriptors = 3075,
                                .m_max_body_bytes = 1000,
                                .m_max_connections = 77,
                                .m_max_buffered_bytes = 8 * mb});
    LONGS_EQUAL(77, shares.m_callers.m_max_connections);
    LONGS_EQUAL(6 * mb, shares.m_callers.m_max_buffered_bytes);
    LONGS_EQUAL(mb, shares.m_operators.m_max_buffered_bytes);
}
