#include "dragonflygap/placement/quota_share.hpp"

#include <map>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

namespace
{

constexpr resources quota{.m_millicores = 64000, .m_memory_mb = 64000, .m_accelerators = 8};

worker_group make_group(int number)
{
    return {data_centre_id(number % 2 == 0 ? "dc1" : "dc2"),
            static_cast<ownership::group_index>(number)};
}

group_amounts make_capacities()
{
    group_amounts capacities;
    for (int i = 0; i < 6; ++i)
        capacities[make_group(i)] = {16000 * (1 + i), 32000, i == 0 ? 4 : 0};
    return capacities;
}

} // namespace

TEST_GROUP(quota_share)
{
    quota_view m_view{.m_quota = quota, .m_capacities = make_capacities()};
};

TEST(quota_share, an_owner_borrows_only_the_capacity_that_it_lacks)
{
    m_view.m_own = {make_group(0)};
    const auto limit = limit_of(m_view);
    m_view.m_borrowed = *borrow(m_view, limit + resources{1000, 0, 0});
    CHECK(limit_of(m_view) == limit + (resources{1000, 0, 0}));
}

TEST(quota_share, unneeded_capacity_returns_to_the_pool)
{
    m_view.m_own = {make_group(0)};
    m_view.m_borrowed = {{make_group(0), {5000, 0, 0}}, {make_group(1), {700, 0, 0}}};
    CHECK(*borrow(m_view, {}) == (group_amounts{{make_group(1), {700, 0, 0}}}));
}

TEST(quota_share, the_pool_lends_the_whole_requested_amount_or_nothing)
{
    m_view.m_own = {make_group(0)};
    CHECK(!borrow(m_view, {1000, 0, 9}).has_value());
}

TEST(quota_share, borrowed_shares_move_with_their_group_to_its_next_owner)
{
    m_view.m_borrowed = {{make_group(3), {5000, 10, 1}}};
    m_view.m_own = {make_group(2)};
    const auto without = limit_of(m_view);
    m_view.m_own.insert(make_group(3));
    CHECK((resources{5000, 10, 1}).fits_in(limit_of(m_view) - without));
}

TEST(quota_share, an_encoded_row_decodes_to_the_same_value)
{
    const group_amounts borrowed{{make_group(3), {5000, 10, 1}}};
    CHECK(decode_borrowed(encode_borrowed(borrowed)) == borrowed);
    CHECK(!decode_borrowed("{").has_value());
}

TEST(quota_share, the_limits_of_all_owners_never_exceed_the_quota_in_total)
{
    CHECK(rc::check("shares within quota",
                    []
                    {
                        const auto capacities = make_capacities();
                        std::map<int, quota_view> owners;
                        for (int i = 0; i < 6; ++i)
                        {
                            auto& view = owners[*rc::gen::inRange(0, 3)];
                            view.m_quota = quota;
                            view.m_capacities = capacities;
                            view.m_own.insert(make_group(i));
                        }
                        group_amounts row;
                        for (int i = 0; i < 30; ++i)
                        {
                            auto& view = owners[*rc::gen::inRange(0, 3)];
                            if (view.m_own.empty())
                                continue;
                            // The write is a compare-and-set, so it is based on the current row.
                            view.m_borrowed = row;
                            const resources wanted{*rc::gen::inRange(0, 64000),
                                                   *rc::gen::inRange(0, 64000),
                                                   *rc::gen::inRange(0, 9)};
                            if (const auto next = borrow(view, wanted))
                                view.m_borrowed = row = *next;
                            resources sum;
                            for (const auto& [number, each] : owners)
                                if (!each.m_own.empty())
                                    sum += limit_of(each);
                            RC_ASSERT(sum.fits_in(quota));
                        }
                    }));
}
