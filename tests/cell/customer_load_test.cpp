#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cell/support/customer_load.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const cell_options deployment{.m_vms = 35,
                              .m_workers = 350,
                              .m_capacity = {.m_millicores = 32000, .m_memory_mb = 65536}};

constexpr int customers = 20;
const std::vector<double> uneven_weights{20, 12, 8, 4, 4, 4, 3, 3, 3, 3,
                                         2,  2,  2, 2, 2, 1, 1, 1, 1, 1};
const int hot = std::getenv("HOT") ? std::atoi(std::getenv("HOT")) : 0; // A quarter of all weights.
constexpr double usual_load = 0.8;

struct play
{
    double m_factor = 1; ///< Of the usual load of the hot customer.
    bool m_takeover = false;
};

/// What became of each customer's jobs of 30 s, of which one customer is hot for 24 s.
std::vector<served> served_by(const play& how)
{
    simulated_cell cell(deployment);
    customer_load load(cell, uneven_weights, usual_load);
    cell.take_over();
    auto rules = load.rules();
    if (const char* w = std::getenv("HOTW")) rules[hot].m_weight = std::atof(w);
    cell.set_customers(rules);
    cell.run(1s);
    load.run(8s);
    load.measure(true);
    load.set_factor(hot, how.m_factor);
    if (std::getenv("ALL") && how.m_factor > 1)
        for (int c = 0; c < customers; ++c)
            load.set_factor(c, std::atof(std::getenv("ALL")));
    load.run(12s);
    if (how.m_takeover)
        cell.replace_leader(750ms);
    load.run(12s);
    for (int c = 0; c < customers; ++c)
        load.set_factor(c, 1);
    load.run(6s);
    load.measure(false);
    load.run(10s);
    for (int i = 0; i < 60 && cell.live_jobs() > 0; ++i)
        cell.run(1s);
    LONGS_EQUAL(0, cell.overcommitted());
    LONGS_EQUAL(0, cell.refused_starts());
    if (std::getenv("SHOW_LOAD") != nullptr)
        for (const auto* kind : {&wide_gangs, &wide_jobs, &batch_jobs, &urgent_jobs})
        {
            const auto all = load.results(kind);
            served others;
            for (int c = 0; c < customers; ++c)
            {
                if (c == hot) continue;
                others.m_jobs += all[c].m_jobs;
                others.m_credit += all[c].m_credit;
                others.m_beyond += all[c].m_beyond;
            }
            std::printf("%s hot %d beyond %d %.3f others %d beyond %d %.3f\n", kind->m_queue.m_name.m_value.c_str(), all[hot].m_jobs, all[hot].m_beyond, all[hot].mean(), others.m_jobs, others.m_beyond, others.mean());
        }
    return load.results();
}

double mean_of(const std::vector<served>& all, bool with_hot)
{
    served sum;
    for (int c = 0; c < customers; ++c)
        if (c != hot || with_hot)
        {
            sum.m_jobs += all[c].m_jobs;
            sum.m_credit += all[c].m_credit;
        }
    return sum.mean();
}

/// Of the tenth of the other customers that was served worst.
double worst_tenth(const std::vector<served>& all)
{
    std::vector<double> means;
    for (int c = 0; c < customers; ++c)
        if (c != hot)
            means.push_back(all[c].mean());
    std::sort(means.begin(), means.end());
    return (means[0] + means[1]) / 2;
}

std::string text_of(const std::vector<served>& all)
{
    std::string result;
    for (int c = 0; c < customers; ++c)
        result += std::to_string(c) + ": " + std::to_string(all[c].mean()) + " of " +
                  std::to_string(all[c].m_jobs) + ", beyond " + std::to_string(all[c].m_beyond) +
                  ", rejected " + std::to_string(all[c].m_rejected) + ", unfinished " +
                  std::to_string(all[c].m_unfinished) + "\n";
    return result;
}

// The margin of docs/design/hard-load.md.
constexpr double margin = 0.05;

void check_others(const std::vector<served>& usual, const std::vector<served>& burst)
{
    const auto text = "usual\n" + text_of(usual) + "burst\n" + text_of(burst);
    if (std::getenv("SHOW_LOAD") != nullptr)
        std::puts(text.c_str());
    for (int c = 0; c < customers; ++c)
    {
        // Nothing starves, the gangs of the hot customer included.
        LONGS_EQUAL_TEXT(0, burst[c].m_unfinished, text.c_str());
        if (c == hot)
            continue;
        CHECK_TEXT(burst[c].mean() >= usual[c].mean() - margin, text.c_str());
        LONGS_EQUAL_TEXT(0, burst[c].m_rejected, text.c_str());
    }
    CHECK_TEXT(worst_tenth(burst) >= mean_of(usual, false) - margin, text.c_str());
    // The hot customer earns as much as with its usual load at least.
    CHECK_TEXT(burst[hot].m_credit >= 0.95 * usual[hot].m_credit, text.c_str());
}

} // namespace

TEST_GROUP(customer_load){};

// The five-fold load of one customer delayed the jobs of all.
TEST(customer_load, a_customer_that_sends_five_times_its_usual_delays_no_other)
{
    check_others(served_by({}), served_by({.m_factor = 5}));
}

// A successor has no balances, and the jobs that it finds keep their order.
TEST(customer_load, the_same_holds_across_a_takeover)
{
    check_others(served_by({.m_takeover = true}), served_by({.m_factor = 5, .m_takeover = true}));
}

// What it left unused for a minute is not served before the jobs of others.
TEST(customer_load, a_customer_that_was_idle_delays_no_other_either)
{
    const auto play = [](double factor)
    {
        simulated_cell cell(deployment);
        customer_load load(cell, uneven_weights, usual_load);
        cell.take_over();
        cell.set_customers(load.rules());
        cell.run(1s);
        load.set_factor(hot, 0);
        load.run(20s);
        load.measure(true);
        load.set_factor(hot, factor);
        load.run(20s);
        load.measure(false);
        load.set_factor(hot, 1);
        load.run(5s);
        for (int i = 0; i < 60 && cell.live_jobs() > 0; ++i)
            cell.run(1s);
        return load.results();
    };
    check_others(play(1), play(5));
}
