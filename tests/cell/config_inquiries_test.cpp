#include "dragonflygap/cell/config_inquiries.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

std::vector<vm_id> vms(const std::string& prefix, int count)
{
    std::vector<vm_id> result;
    for (int i = 0; i < count; ++i)
        result.push_back(vm_id(prefix + std::to_string(i)));
    return result;
}

} // namespace

TEST_GROUP(config_inquiries)
{
    instant m_now{100s};
    config_inquiries m_inquiries{{}, 1000};

    /// Peers asked while inquiries are needed for a time.
    std::vector<vm_id> ask_for(duration length)
    {
        std::vector<vm_id> asked;
        for (const auto until = m_now + length; m_now < until; m_now += 50ms)
            for (const auto& inquiry : m_inquiries.next(true, m_now))
                asked.push_back(inquiry.m_peer);
        return asked;
    }
};

TEST(config_inquiries, nobody_is_asked_while_the_store_answers)
{
    m_inquiries.set_peers(vms("near", 3), vms("far", 3));
    CHECK(m_inquiries.next(false, m_now).empty());
    CHECK_FALSE(m_inquiries.next(true, m_now).empty());
}

// A new version has to be in force within 3 s, of which 1.3 s pass before the store counts as
// silent.
TEST(config_inquiries, every_vm_of_a_large_cell_is_asked_within_the_bound)
{
    m_inquiries.set_peers(vms("near", 14), vms("far", 28));
    const auto asked = ask_for(2500ms);
    CHECK(std::set(asked.begin(), asked.end()).size() >= 40);
}

TEST(config_inquiries, vms_of_the_own_data_centre_and_others_are_asked_in_each_round)
{
    m_inquiries.set_peers(vms("near", 14), vms("far", 28));
    const auto round = m_inquiries.next(true, m_now);
    LONGS_EQUAL(2, std::count_if(round.begin(), round.end(),
                                 [](const auto& inquiry)
                                 { return inquiry.m_peer.m_value.starts_with("near"); }));
    LONGS_EQUAL(4, round.size());
}

TEST(config_inquiries, a_peer_that_confirms_is_the_only_one_asked)
{
    m_inquiries.set_peers(vms("near", 3), vms("far", 3));
    const auto peer = m_inquiries.next(true, m_now).front().m_peer;
    m_now += 10ms;
    int asked = 0;
    for (int i = 0; i < 100; ++i, m_now += 50ms)
    {
        m_inquiries.confirmed(peer, m_now);
        for (const auto& inquiry : m_inquiries.next(true, m_now))
        {
            CHECK(inquiry.m_peer == peer);
            ++asked;
        }
    }
    CHECK(asked >= 9 && asked <= 11); // each 500 ms
    // It falls silent: the others are asked again.
    const auto others = ask_for(2s);
    CHECK(std::set(others.begin(), others.end()).size() == 6);
}

// All VMs ask each other while the store is down.
TEST(config_inquiries, peers_are_asked_ever_less_often_without_a_confirmation)
{
    m_inquiries.set_peers(vms("near", 14), vms("far", 28));
    ask_for(10s);
    CHECK(ask_for(10s).size() <= 6 * 4);
    CHECK(m_inquiries.next(false, m_now).empty());
    CHECK(ask_for(1s).size() >= 4 * 4);
}

// A VM that starts while it is cut off from the store knows only who calls it.
TEST(config_inquiries, a_peer_that_was_heard_from_is_asked_next)
{
    CHECK(m_inquiries.next(true, m_now).empty());
    m_inquiries.add_peer(vm_id("leader"));
    CHECK(m_inquiries.next(true, m_now).front().m_peer == vm_id("leader"));
    m_inquiries.set_peers(vms("near", 3), vms("far", 3));
    m_now += 1s;
    m_inquiries.add_peer(vm_id("far2"));
    CHECK(m_inquiries.next(true, m_now).front().m_peer == vm_id("far2"));
    m_now += 10s;
    const auto asked = ask_for(2s);
    LONGS_EQUAL(6, std::set(asked.begin(), asked.end()).size());
}

TEST(config_inquiries, an_answer_counts_from_when_its_inquiry_was_sent)
{
    m_inquiries.set_peers(vms("near", 1), {});
    const auto inquiry = m_inquiries.next(true, m_now).front();
    CHECK(m_inquiries.sent_at(inquiry.m_number, m_now + 1s) == m_now);
    CHECK_FALSE(m_inquiries.sent_at(inquiry.m_number, m_now + 4s).has_value());
    CHECK_FALSE(m_inquiries.sent_at(inquiry.m_number + 1, m_now).has_value());
    // Of an earlier process of this VM.
    CHECK_FALSE(m_inquiries.sent_at(999, m_now).has_value());
}

TEST(config_inquiries, peers_that_asked_lately_are_told_a_newer_version)
{
    m_inquiries.asked_by(vm_id("a"), 3, m_now);
    m_inquiries.asked_by(vm_id("b"), 4, m_now);
    CHECK(m_inquiries.peers_behind(4, m_now + 1s) == std::vector<vm_id>{vm_id("a")});
    CHECK(m_inquiries.peers_behind(4, m_now + 31s).empty());
    CHECK(m_inquiries.peers_behind(3, m_now).empty());
}
