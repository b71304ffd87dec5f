#include "dragonflygap/cell/customer_share.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);

/// The first deployment of docs/design/hard-load.md.
constexpr int workers = 350;
const resources cell_capacity{.m_millicores = 32000 * workers, .m_memory_mb = 65536LL * workers};

/// A kind of job: its load, and how many of all customers arrive in a second.
struct kind
{
    int m_priority = 0;
    step_load m_load;
    double m_per_second = 0;
};
// Jobs of several steps count as so many jobs of one.
const std::vector<kind> kinds{
    {1, {{.m_millicores = 9000, .m_memory_mb = 9000}, 20, 5000}, 3.6 * 1.2},
    {2, {{.m_millicores = 3500, .m_memory_mb = 4000}, 25, 3400}, 10.3 * 1.5},
    {0, {{.m_millicores = 5000, .m_memory_mb = 4000}, 3, 1000}, 66},
};
constexpr int wide = 0;
constexpr int batch = 1;
constexpr int urgent = 2;

customer_id name(int number)
{
    return customer_id("customer-" + std::to_string(number));
}

std::map<customer_id, customer_rules> customers_of(const std::vector<double>& weights)
{
    std::map<customer_id, customer_rules> result;
    for (int i = 0; i < static_cast<int>(weights.size()); ++i)
        result[name(i)] = {.m_name = name(i), .m_weight = weights[i]};
    return result;
}

/// 20 customers, three of them large.
const std::vector<double> uneven_weights{20, 12, 8, 4, 4, 4, 3, 3, 3, 3,
                                         2,  2,  2, 2, 2, 1, 1, 1, 1, 1};

double sum_of(const std::vector<double>& weights)
{
    double sum = 0;
    for (const double weight : weights)
        sum += weight;
    return sum;
}

/// Jobs or their work in seconds of the cell.
struct accepted
{
    double m_within = 0;
    double m_beyond = 0;

    double all() const { return m_within + m_beyond; }
    double beyond_share() const { return all() > 0 ? m_beyond / all() : 0; }
};

/// Accepts the jobs of customers that send in proportion to their weights, evenly over time or at
/// random.
class load
{
public:
    explicit load(std::vector<double> weights, std::uint64_t seed = 0)
        : m_weights(std::move(weights)), m_random(seed), m_at_random(seed != 0)
    {
        m_shares.set_customers(customers_of(m_weights), start);
        m_shares.set_capacity(cell_capacity);
        m_factors.assign(m_weights.size(), 1);
        m_due.assign(m_weights.size(), std::vector<double>(kinds.size()));
        for (std::size_t c = 0; c < m_due.size(); ++c)
            for (std::size_t k = 0; k < kinds.size(); ++k)
                m_due[c][k] = draw(); // So that they don't all send at the same time.
        m_work.assign(m_weights.size(), std::vector<accepted>(kinds.size()));
    }

    /// The customer sends this times its usual.
    void set_factor(int customer, double factor) { m_factors[customer] = factor; }

    void run(duration length)
    {
        constexpr duration slice = 10ms;
        const double slice_s = 0.01;
        for (const auto until = m_now + length; m_now < until; m_now += slice)
            for (std::size_t c = 0; c < m_weights.size(); ++c)
                for (std::size_t k = 0; k < kinds.size(); ++k)
                    send(c, k, slice_s);
    }

    /// What the customer's jobs of a kind took since the last call, in seconds of the cell.
    accepted take(int customer, int kind) { return std::exchange(m_work[customer][kind], {}); }
    accepted take(int customer)
    {
        accepted sum;
        for (int k = 0; k < static_cast<int>(kinds.size()); ++k)
        {
            const auto one = take(customer, k);
            sum.m_within += one.m_within;
            sum.m_beyond += one.m_beyond;
        }
        return sum;
    }

    double share(int customer) const { return m_weights[customer] / sum_of(m_weights); }
    instant now() const { return m_now; }
    customer_shares& shares() { return m_shares; }

private:
    double draw()
    {
        constexpr std::uint64_t thousand = 1000;
        m_random = m_random * 6364136223846793005U + 1442695040888963407U;
        return static_cast<double>((m_random >> 33) % thousand) / static_cast<double>(thousand);
    }

    void send(std::size_t customer, std::size_t number, double slice_s)
    {
        const auto& kind = kinds[number];
        const double jobs =
            kind.m_per_second * share(static_cast<int>(customer)) * m_factors[customer] * slice_s;
        auto& due = m_due[customer][number];
        due += m_at_random ? (draw() < jobs ? 1 : 0) : jobs;
        for (; due >= 1; due -= 1)
            accept(customer, number);
    }

    void accept(std::size_t customer, std::size_t number)
    {
        const auto& kind = kinds[number];
        const auto id = name(static_cast<int>(customer));
        const double seconds = m_shares.cell_seconds(std::span(&kind.m_load, 1));
        const bool beyond = m_shares.is_beyond(id, kind.m_priority, m_now);
        m_shares.charge(id, kind.m_priority, beyond, seconds, m_now);
        auto& work = m_work[customer][number];
        (beyond ? work.m_beyond : work.m_within) += seconds;
    }

    std::vector<double> m_weights;
    std::uint64_t m_random;
    bool m_at_random;
    customer_shares m_shares;
    std::vector<double> m_factors;
    std::vector<std::vector<double>> m_due;     ///< By customer and kind: jobs.
    std::vector<std::vector<accepted>> m_work;  ///< By customer and kind.
    instant m_now = start;
};

} // namespace

TEST_GROUP(customer_share)
{
    customer_shares m_shares;
    const customer_id m_first{"first"};
    const customer_id m_second{"second"};

    /// Two customers with shares of 0.25 and 0.75.
    void set_two()
    {
        m_shares.set_customers({{m_first, {.m_name = m_first, .m_weight = 1}},
                                {m_second, {.m_name = m_second, .m_weight = 3}}},
                               start);
        m_shares.set_capacity({.m_millicores = 10000, .m_memory_mb = 100000});
    }
};

TEST(customer_share, work_counts_by_the_resource_of_which_it_takes_the_largest_share)
{
    set_two();
    // 2 tasks of 10% of the cores for 3 s; 1 task of 40% of the memory for 0.5 s.
    const std::vector<step_load> load{{{1000, 2000, 0}, 2, 3000}, {{1000, 40000, 0}, 1, 500}};
    DOUBLES_EQUAL(0.8, m_shares.cell_seconds(load), 1e-9);
    m_shares.set_capacity({});
    DOUBLES_EQUAL(0, m_shares.cell_seconds(load), 1e-9);
}

TEST(customer_share, a_balance_grows_by_the_share_up_to_a_bound)
{
    set_two();
    // Full: 3 s of the share of 0.75; for the share of 0.25 as well, which is more than 0.3.
    DOUBLES_EQUAL(2.25, m_shares.balance(m_second, 0, start), 1e-9);
    DOUBLES_EQUAL(0.75, m_shares.balance(m_first, 0, start), 1e-9);
    m_shares.charge(m_first, 0, false, 1.75, start);
    DOUBLES_EQUAL(-1, m_shares.balance(m_first, 0, start), 1e-9);
    CHECK_TRUE(m_shares.is_beyond(m_first, 0, start + 3900ms));
    CHECK_FALSE(m_shares.is_beyond(m_first, 0, start + 4100ms));
    DOUBLES_EQUAL(0.75, m_shares.balance(m_first, 0, start + 1h), 1e-9);
    CHECK_FALSE(m_shares.is_beyond(m_second, 0, start));
}

// A job of minutes would leave its customer without a share for as long.
TEST(customer_share, a_balance_is_positive_again_within_seconds_whatever_was_charged)
{
    set_two();
    m_shares.charge(m_first, 0, false, 1000, start);
    CHECK_TRUE(m_shares.is_beyond(m_first, 0, start + 9s));
    CHECK_FALSE(m_shares.is_beyond(m_first, 0, start + 10s));
}

// A customer that goes on sending too much had no job within its share, as each of its jobs kept
// the balance at its lower bound.
TEST(customer_share, a_customer_that_goes_on_sending_too_much_keeps_its_share)
{
    set_two();
    double within = 0;
    for (auto now = start; now < start + 60s; now += 100ms)
    {
        const bool beyond = m_shares.is_beyond(m_first, 0, now);
        m_shares.charge(m_first, 0, beyond, 0.1, now); // four times its share
        within += beyond ? 0 : 0.1;
    }
    // 60 s of its share, and the balance that it had; the last job may be larger than what is left.
    CHECK_COMPARE(within, >=, 60 * 0.25);
    CHECK_COMPARE(within, <=, 60 * 0.25 + 0.75 + 0.1);
}

// Urgent jobs precede the customer's other work, so that one doesn't use up their share.
TEST(customer_share, less_urgent_work_takes_nothing_from_urgent_jobs)
{
    set_two();
    m_shares.charge(m_first, 2, false, 5, start);
    CHECK_TRUE(m_shares.is_beyond(m_first, 2, start));
    CHECK_FALSE(m_shares.is_beyond(m_first, 1, start));
    CHECK_FALSE(m_shares.is_beyond(m_first, 0, start));
}

TEST(customer_share, urgent_work_counts_for_less_urgent_jobs_also_beyond_its_share)
{
    set_two();
    m_shares.charge(m_first, 2, false, 0.1, start);
    m_shares.charge(m_first, 0, false, 0.5, start);
    DOUBLES_EQUAL(0.25, m_shares.balance(m_first, 0, start), 1e-9);
    DOUBLES_EQUAL(0.15, m_shares.balance(m_first, 2, start), 1e-9);
    // Beyond the share at its own priority: charged only to the others.
    m_shares.charge(m_first, 0, true, 0.5, start);
    DOUBLES_EQUAL(0.25, m_shares.balance(m_first, 0, start), 1e-9);
    DOUBLES_EQUAL(-0.35, m_shares.balance(m_first, 2, start), 1e-9);
    // No job had this priority yet.
    DOUBLES_EQUAL(0.25, m_shares.balance(m_first, 1, start), 1e-9);
}

TEST(customer_share, customers_that_are_not_in_force_are_never_beyond_a_share)
{
    set_two();
    const customer_id unknown("unknown");
    m_shares.charge(unknown, 0, false, 100, start);
    CHECK_FALSE(m_shares.is_beyond(unknown, 0, start));
    m_shares.charge({}, 0, false, 100, start);
    CHECK_FALSE(m_shares.is_beyond({}, 0, start));
}

TEST(customer_share, a_new_version_keeps_the_balances_of_customers_that_stay)
{
    set_two();
    m_shares.charge(m_first, 0, false, 1, start);
    const customer_id third("third");
    m_shares.set_customers({{m_first, {.m_name = m_first, .m_weight = 1}},
                            {third, {.m_name = third, .m_weight = 1}}},
                           start + 1s);
    // It had grown by its former share of 0.25.
    DOUBLES_EQUAL(0, m_shares.balance(m_first, 0, start + 1s), 1e-9);
    DOUBLES_EQUAL(0.5, m_shares.balance(m_first, 0, start + 2s), 1e-9);
    DOUBLES_EQUAL(1.5, m_shares.balance(third, 0, start + 1s), 1e-9);
    DOUBLES_EQUAL(0, m_shares.balance(m_second, 0, start + 1s), 1e-9);
}

// A division by a sum of zero would make every comparison with a balance false.
TEST(customer_share, a_customer_without_a_weight_gets_what_others_leave)
{
    m_shares.set_customers({{m_first, {.m_name = m_first, .m_weight = 0}},
                            {m_second, {.m_name = m_second, .m_weight = -1}}},
                           start);
    CHECK_TRUE(m_shares.is_beyond(m_first, 0, start));
    CHECK_TRUE(m_shares.is_beyond(m_second, 0, start));
}

// An owner of a third of the cell is beyond its share after a few seconds of idle time as well.
TEST(customer_share, an_idle_customer_is_not_owed_what_it_left_unused)
{
    load all(uneven_weights);
    all.set_factor(0, 0);
    all.run(600s);
    all.take(0);
    all.set_factor(0, 5);
    all.run(10s);
    // 10 s of its share, 3 s that it was owed, and the job that took the balance below zero.
    const double allowed = 13 * all.share(0) + 0.1;
    const auto urgent_work = all.take(0, urgent);
    const auto wide_work = all.take(0, wide);
    const auto batch_work = all.take(0, batch);
    CHECK_COMPARE(urgent_work.m_within + wide_work.m_within, <=, allowed);
    CHECK_COMPARE(batch_work.m_within, <=, allowed);
    CHECK_COMPARE(wide_work.m_beyond + batch_work.m_beyond, >,
                  0.5 * (wide_work.all() + batch_work.all()));
}

// The cell is at 85% of its capacity.
TEST(customer_share, usual_loads_are_within_the_shares)
{
    load all(uneven_weights);
    all.run(120s);
    for (int c = 0; c < static_cast<int>(uneven_weights.size()); ++c)
        DOUBLES_EQUAL(0, all.take(c).m_beyond, 1e-9);
}

TEST(customer_share, few_jobs_are_beyond_a_share_when_usual_loads_arrive_at_random)
{
    load all(uneven_weights, 7);
    all.run(600s);
    accepted wides;
    accepted batches;
    for (int c = 0; c < static_cast<int>(uneven_weights.size()); ++c)
    {
        DOUBLES_EQUAL(0, all.take(c, urgent).m_beyond, 1e-9);
        const auto wide_work = all.take(c, wide);
        const auto batch_work = all.take(c, batch);
        wides.m_within += wide_work.m_within;
        wides.m_beyond += wide_work.m_beyond;
        batches.m_within += batch_work.m_within;
        batches.m_beyond += batch_work.m_beyond;
    }
    CHECK_COMPARE(wides.beyond_share(), <, 0.05);
    CHECK_COMPARE(batches.beyond_share(), <, 0.25);
}

// One customer's five-fold load of some seconds delayed the jobs of all others.
TEST(customer_share, the_excess_of_a_customer_is_beyond_its_share_and_no_other_customer_s_job_is)
{
    constexpr double usual_load = 0.845;
    for (const int hot : {0, 1, 3})
    {
        load all(uneven_weights);
        all.run(30s);
        all.set_factor(hot, 5);
        all.take(hot);
        all.run(6s);
        const auto work = all.take(hot);
        const double excess = work.all() - usual_load * 6 * all.share(hot);
        CHECK_COMPARE(work.m_beyond, >, 0.5 * excess);
        CHECK_COMPARE(work.m_within, >=, 6 * all.share(hot));
        // It has its share again at once, and its usual load is within it after some seconds.
        all.set_factor(hot, 1);
        all.run(12s);
        all.take(hot);
        all.run(30s);
        DOUBLES_EQUAL(0, all.take(hot).m_beyond, 1e-9);
        for (int c = 0; c < static_cast<int>(uneven_weights.size()); ++c)
            if (c != hot)
                DOUBLES_EQUAL(0, all.take(c).m_beyond, 1e-9);
    }
}

// No customer sends out of proportion, so the order stays as it is without shares.
TEST(customer_share, in_a_general_burst_of_twice_the_load_no_job_is_beyond_a_share)
{
    load all(uneven_weights);
    all.run(30s);
    const int count = static_cast<int>(uneven_weights.size());
    for (int c = 0; c < count; ++c)
    {
        all.set_factor(c, 2);
        all.take(c);
    }
    all.run(60s);
    for (int c = 0; c < count; ++c)
        DOUBLES_EQUAL(0, all.take(c).m_beyond, 1e-9);
}

TEST(customer_share, the_excess_of_a_customer_is_beyond_its_share_in_a_general_burst_too)
{
    load all(uneven_weights);
    all.run(30s);
    constexpr int hot = 1;
    const int count = static_cast<int>(uneven_weights.size());
    for (int c = 0; c < count; ++c)
        all.set_factor(c, c == hot ? 8 : 1.6);
    all.run(5s);
    for (int c = 0; c < count; ++c)
        all.take(c);
    all.run(20s);
    const auto work = all.take(hot);
    CHECK_COMPARE(work.m_beyond, >, 0.5 * work.all());
    CHECK_COMPARE(work.m_within, >=, 20 * all.share(hot));
    for (int c = 0; c < count; ++c)
        DOUBLES_EQUAL(0, all.take(c).m_beyond, 1e-9);
}
