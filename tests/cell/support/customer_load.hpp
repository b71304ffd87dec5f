#pragma once

#include <string>
#include <vector>

#include "cell/support/simulated_cell.hpp"
#include "dragonflygap/cell/objective.hpp"

/// The first deployment of docs/design/hard-load.md, and what its customers' jobs are worth.
namespace simulated
{

inline job_kind rated(job_kind kind, double stretch, std::int64_t slack_ms)
{
    kind.m_queue.m_stretch = stretch;
    kind.m_queue.m_slack_ms = slack_ms;
    return kind;
}

/// Every queue needs approvals, which are valid for 2,500 ms.
inline const job_kind wide_gangs =
    rated(kind_of("wide-gangs", 1, {180, 2.6, 2500}, 0.6,
                  {.m_count = 20,
                   .m_size = {.m_millicores = 9000, .m_memory_mb = 9000},
                   .m_expected_ms = 5000,
                   .m_gang = true}),
          2.2, 1000);
inline const job_kind wide_jobs =
    rated(kind_of("wide", 1, {180, 2.6, 2500}, 0.6,
                  {.m_count = 20,
                   .m_size = {.m_millicores = 9000, .m_memory_mb = 9000},
                   .m_expected_ms = 5000}),
          2.2, 1000);
inline const job_kind batch_jobs =
    rated(kind_of("batch", 2, {90, 1.3, 2500}, 0.7,
                  {.m_count = 25,
                   .m_size = {.m_millicores = 3500, .m_memory_mb = 4000},
                   .m_expected_ms = 3400}),
          4, 3000);
inline const job_kind urgent_jobs =
    rated(kind_of("urgent", 0, {18, 0.26, 2500}, 0.8,
                  {.m_count = 3,
                   .m_size = {.m_millicores = 5000, .m_memory_mb = 4000},
                   .m_expected_ms = 1000}),
          1.5, 300);

inline customer_id customer_named(int number)
{
    return customer_id("customer-" + std::to_string(number));
}

/// A customer's jobs.
struct served
{
    int m_jobs = 0;
    int m_rejected = 0;
    int m_beyond = 0;
    int m_unfinished = 0;
    double m_credit = 0; ///< 1 for a job within its objective, 0.2 for one within three times it.

    double mean() const { return m_jobs == 0 ? 1 : m_credit / m_jobs; }
};

/// Submits the jobs of customers in proportion to their weights, the same ones in each run of the
/// same customer's load.
class customer_load
{
public:
    customer_load(simulated_cell& cell, std::vector<double> weights, double load)
        : m_cell(cell), m_weights(std::move(weights)), m_factors(m_weights.size(), 1)
    {
        double sum = 0;
        for (const double weight : m_weights)
            sum += weight;
        const std::pair<const job_kind*, double> mix[] = {
            // As jobs of one step.
            {&wide_gangs, 3.6 * 1.2 / 3},
            {&wide_jobs, 3.6 * 1.2 * 2 / 3},
            {&batch_jobs, 10.3 * 1.5},
            {&urgent_jobs, 66}};
        constexpr double page_load = 0.845;
        for (std::size_t c = 0; c < m_weights.size(); ++c)
            for (const auto& [kind, per_second] : mix)
                m_streams.push_back({.m_customer = static_cast<int>(c),
                                     .m_kind = kind,
                                     .m_per_second = per_second * load / page_load *
                                                     m_weights[c] / sum,
                                     .m_due = draw()});
    }

    std::vector<customer_rules> rules(const resources& limit = {}) const
    {
        std::vector<customer_rules> result;
        for (std::size_t c = 0; c < m_weights.size(); ++c)
            result.push_back({.m_name = customer_named(static_cast<int>(c)),
                              .m_weight = m_weights[c],
                              .m_limit = limit});
        return result;
    }

    /// The customer sends this times its usual.
    void set_factor(int customer, double factor) { m_factors[customer] = factor; }
    /// Only jobs that are submitted now are measured.
    void measure(bool on) { m_measured = on; }

    void run(duration length)
    {
        constexpr duration slice = 10ms;
        constexpr double slice_s = 0.01;
        for (duration elapsed{}; elapsed < length; elapsed += slice)
        {
            for (auto& stream : m_streams)
            {
                stream.m_due += stream.m_per_second * m_factors[stream.m_customer] * slice_s;
                for (; stream.m_due >= 1; stream.m_due -= 1)
                    submit(stream);
            }
            m_cell.run(slice);
        }
    }

    /// By customer; of a single kind, if one is given.
    std::vector<served> results(const job_kind* kind = nullptr) const
    {
        std::vector<served> result(m_weights.size());
        for (const auto& [id, sent] : m_sent)
            if (kind == nullptr || sent.m_kind == kind)
                add(result[sent.m_customer], m_cell.results().at(id), *sent.m_kind);
        return result;
    }

private:
    struct stream
    {
        int m_customer = 0;
        const job_kind* m_kind = nullptr;
        double m_per_second = 0;
        double m_due = 0;
        int m_sent = 0;
    };
    struct sent_job
    {
        int m_customer = 0;
        const job_kind* m_kind = nullptr;
    };

    double draw()
    {
        constexpr std::uint64_t thousand = 1000;
        m_random = m_random * 6364136223846793005U + 1442695040888963407U;
        return static_cast<double>((m_random >> 33) % thousand) / static_cast<double>(thousand);
    }

    void submit(stream& from)
    {
        const auto customer = customer_named(from.m_customer);
        const job_id id(customer.m_value + "-" + from.m_kind->m_queue.m_name.m_value + "-" +
                        std::to_string(++from.m_sent));
        m_cell.submit(id, *from.m_kind, customer);
        if (m_measured)
            m_sent[id] = {from.m_customer, from.m_kind};
    }

    static void add(served& to, const job_result& result, const job_kind& kind)
    {
        constexpr double late_credit = 0.2;
        ++to.m_jobs;
        to.m_rejected += result.m_rejected ? 1 : 0;
        to.m_beyond += result.m_beyond_share ? 1 : 0;
        if (result.m_rejected)
            return;
        if (result.m_ended_at == instant{})
        {
            ++to.m_unfinished;
            return;
        }
        const job_record record{.m_queue = kind.m_queue, .m_request = {.m_steps = {kind.m_step}}};
        const auto objective = objective_of(record);
        const auto taken = result.m_ended_at - result.m_submitted_at;
        to.m_credit += taken <= objective ? 1 : taken <= late_limit * objective ? late_credit : 0;
    }

    simulated_cell& m_cell;
    std::vector<double> m_weights;
    std::vector<double> m_factors;
    std::vector<stream> m_streams;
    std::map<job_id, sent_job> m_sent;
    std::uint64_t m_random = 1;
    bool m_measured = false;
};

} // namespace simulated
