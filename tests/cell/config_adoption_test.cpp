#include "dragonflygap/cell/config_adoption.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(100s);

cell_config version(std::uint64_t number)
{
    return {.m_version = number, .m_keys_required = true};
}

} // namespace

TEST_GROUP(config_adoption)
{
    config_adoption m_adoption{{}, start};
    instant m_now = start;

    std::uint64_t in_force() const
    {
        return m_adoption.in_force() == nullptr ? 0 : m_adoption.in_force()->m_version;
    }

    /// A process that does its work until then.
    void tick_until(instant now)
    {
        for (; m_now < now; m_now += 50ms)
            m_adoption.tick(m_now);
        m_adoption.tick(m_now = now);
    }
};

TEST(config_adoption, only_a_newer_version_replaces_the_one_in_force)
{
    CHECK_TRUE(m_adoption.offer_from_store(version(5)));
    CHECK_FALSE(m_adoption.offer_from_store(version(5)));
    CHECK_FALSE(m_adoption.offer_from_store(version(4)));
    CHECK_FALSE(m_adoption.offer_from_peer(version(4)));
    CHECK_TRUE(m_adoption.offer_from_peer(version(6)));
    UNSIGNED_LONGS_EQUAL(6, in_force());
}

// The VM may have served a newer version before it restarted.
TEST(config_adoption, a_peers_version_waits_after_a_start_until_it_is_confirmed)
{
    CHECK_FALSE(m_adoption.offer_from_peer(version(5)));
    UNSIGNED_LONGS_EQUAL(0, in_force());
    UNSIGNED_LONGS_EQUAL(5, m_adoption.newest_version());
    CHECK_TRUE(m_adoption.awaits_confirmation(start));
    // Confirmed before the start, and a newer one that isn't here yet.
    CHECK_FALSE(m_adoption.confirm_by_peer(5, start - 1ms));
    CHECK_FALSE(m_adoption.confirm_by_peer(6, start + 1s));
    UNSIGNED_LONGS_EQUAL(0, in_force());
    CHECK_TRUE(m_adoption.confirm_by_peer(5, start));
    UNSIGNED_LONGS_EQUAL(5, in_force());
    CHECK(m_adoption.confirmed_at() == start);
}

// A VM that starts while the store is down would refuse every call of a cell without customers.
TEST(config_adoption, a_peers_version_without_customers_is_in_force_at_once)
{
    CHECK_TRUE(m_adoption.offer_from_peer({.m_version = 5}));
    UNSIGNED_LONGS_EQUAL(5, in_force());
}

TEST(config_adoption, the_newest_of_several_unconfirmed_versions_counts)
{
    m_adoption.offer_from_peer(version(5));
    m_adoption.offer_from_peer(version(7));
    m_adoption.offer_from_peer(version(6));
    // All versions until then are known to a peer that has an older one than this.
    CHECK_TRUE(m_adoption.confirm_by_peer(5, start + 1s));
    UNSIGNED_LONGS_EQUAL(7, in_force());
}

TEST(config_adoption, a_read_of_the_store_ends_the_wait)
{
    m_adoption.offer_from_peer(version(5));
    CHECK_TRUE(m_adoption.offer_from_store(version(6)));
    UNSIGNED_LONGS_EQUAL(6, in_force());
}

TEST(config_adoption, a_peers_newer_version_is_not_lost_to_a_read_of_an_older_one)
{
    m_adoption.offer_from_peer(version(7));
    CHECK_TRUE(m_adoption.offer_from_store(version(6)));
    UNSIGNED_LONGS_EQUAL(7, in_force());
}

TEST(config_adoption, without_the_setting_keys_never_expire)
{
    m_adoption.offer_from_store(version(1));
    m_adoption.confirm_by_store(start);
    tick_until(start + 1h);
    CHECK_TRUE(m_adoption.may_accept_keys(start + 1h));
}

TEST(config_adoption, keys_expire_after_the_last_confirmation)
{
    m_adoption = config_adoption({.m_keys_expire = 5s}, start);
    m_adoption.offer_from_store(version(2));
    CHECK_FALSE(m_adoption.may_accept_keys(start));
    m_adoption.confirm_by_store(start + 1s);
    tick_until(start + 6s);
    CHECK_TRUE(m_adoption.may_accept_keys(start + 6s));
    CHECK_FALSE(m_adoption.may_accept_keys(start + 6s + 1ms));
    CHECK_TRUE(m_adoption.awaits_confirmation(start + 6s));
    // A peer with an older version, one with a newer version, and one with the same.
    m_adoption.confirm_by_peer(3, start + 4s);
    CHECK_FALSE(m_adoption.may_accept_keys(start + 6s + 1ms));
    m_adoption.confirm_by_peer(2, start + 4s);
    tick_until(start + 9s);
    CHECK_TRUE(m_adoption.may_accept_keys(start + 9s));
    CHECK_FALSE(m_adoption.may_accept_keys(start + 9s + 1ms));
    m_adoption.confirm_by_peer(1, start + 5s);
    CHECK_TRUE(m_adoption.may_accept_keys(start + 10s));
}

// A key may have been removed meanwhile, more than the bound ago.
TEST(config_adoption, a_vm_that_was_paused_accepts_no_key_before_it_has_asked)
{
    m_adoption.offer_from_store(version(1));
    m_adoption.confirm_by_store(start);
    tick_until(start + 1s);
    CHECK_TRUE(m_adoption.may_accept_keys(start + 2s));
    const auto woken = start + 11s;
    CHECK_FALSE(m_adoption.may_accept_keys(woken));
    m_adoption.tick(woken);
    CHECK_FALSE(m_adoption.may_accept_keys(woken));
    CHECK_TRUE(m_adoption.awaits_confirmation(woken));
    m_adoption.confirm_by_peer(1, woken - 4s);
    CHECK_FALSE(m_adoption.may_accept_keys(woken));
    m_adoption.confirm_by_peer(1, woken - 2s);
    CHECK_TRUE(m_adoption.may_accept_keys(woken));
}

TEST(config_adoption, a_vm_that_was_paused_and_is_cut_off_goes_on_as_others_do)
{
    m_adoption.offer_from_store(version(1));
    m_adoption.confirm_by_store(start);
    tick_until(start + 1s);
    const auto woken = start + 11s;
    for (auto now = woken; now <= woken + 1500ms; now += 50ms)
        m_adoption.tick(now);
    CHECK_TRUE(m_adoption.may_accept_keys(woken + 1500ms));
}
