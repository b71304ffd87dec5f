#include "dragonflygap/cell/run_times.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

namespace dragonflygap::cell
{

namespace
{

// Configurations may name and drop any number of queues in a leader's time.
constexpr std::size_t max_queues = 256;

// Without an estimate only the step's own runs say what it takes.
constexpr double unknown_step_variance = 100;

// Runs of a step are compared when it ends, or when there are as many.
constexpr std::size_t max_samples = 16;
// A worker's runs count as no more than this many standard deviations off.
constexpr double outlier_limit = 2.5;
constexpr int robust_rounds = 3;
// The differences that are left tell of the tasks if workers and step explain less than this.
constexpr double well_known = 0.02;
// A worker runs as usual again if a run takes no longer than this many standard deviations more.
constexpr double usual_limit = 2;
// Of runs on workers of usual speed, one in 30,000 takes longer than this many standard deviations
// more: at 700 runs a second, one each 45 s.
constexpr double overdue_limit = 4;
constexpr double min_overdue_factor = 1.5;
constexpr duration min_overdue_time = 300ms; // Beyond the usual; what reports may be late.
// The progress of a part of a run tells its speed if that much was to be expected; it is rounded
// down to whole percents.
constexpr int long_part_percent = 20;
constexpr int all_percent = 100;

constexpr double us_per_ms = 1000;

double log_ms(duration time)
{
    return std::log(std::max<double>(1, static_cast<double>(time.count())) / us_per_ms);
}

duration time_of(double log_ms)
{
    constexpr double max_us = 1e15;
    return duration(static_cast<std::int64_t>(std::min(max_us, std::exp(log_ms) * us_per_ms)));
}

// Never 0, which stands for none.
std::size_t hash_of(const std::string& image)
{
    return image.empty() ? 0 : std::max<std::size_t>(1, std::hash<std::string>()(image));
}

double log_estimate(const step_spec& spec)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, spec.m_expected_ms)));
}

} // namespace

run_times::queue_state& run_times::open(const queue_id& queue)
{
    if (m_queues.size() >= max_queues && m_queues.count(queue) == 0)
        m_queues.erase(std::min_element(m_queues.begin(), m_queues.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.m_last_used <
                                                   right.second.m_last_used;
                                        }));
    auto& state = m_queues[queue];
    state.m_last_used = ++m_uses;
    return state;
}

const run_times::queue_state& run_times::find(const queue_id& queue) const
{
    static const queue_state none;
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? none : found->second;
}

std::int64_t run_times::expected_ms(const queue_id& queue, const step_spec& spec) const
{
    const auto found = m_queues.find(queue);
    if (spec.m_expected_ms <= 0 || found == m_queues.end() || found->second.m_times.steps() <= 0)
        return spec.m_expected_ms;
    const double expected =
        std::exp(found->second.m_times.expected(log_estimate(spec), hash_of(spec.m_image)));
    return std::max<std::int64_t>(1, std::llround(expected));
}

double run_times::step_deviation(const queue_id& queue) const
{
    return std::sqrt(find(queue).m_times.step_variance());
}

double run_times::task_deviation(const queue_id& queue) const
{
    return std::sqrt(find(queue).m_times.task_variance());
}

void run_times::add(const finished_run& run, bool last, step_times& step, instant now)
{
    // The time tells of the disturbance, not of the worker.
    if (m_speeds.lagged_since(run.m_worker, run.m_began))
        return;
    auto& queue = open(run.m_queue.m_name).m_times;
    const bool estimated = run.m_spec.m_expected_ms > 0;
    const auto image = hash_of(run.m_spec.m_image);
    const double estimate = log_estimate(run.m_spec);
    const double time = log_ms(run.m_time);
    const double slowness = m_speeds.log_factor(run.m_worker);
    const double ratio = time - (estimated ? queue.expected(estimate, image) : 0);
    if (estimated)
        queue.add(estimate, image, time - slowness,
                  run.m_spec.m_gang ? 1 : 1.0 / std::max(1, run.m_spec.m_count));
    if (run.m_spec.m_gang)
        return;
    if (!step.m_known)
    {
        step.m_known = true;
        step.m_prior_variance = estimated ? queue.step_variance() : unknown_step_variance;
        step.m_effect = step.m_prior_effect;
        step.m_variance = step.m_prior_variance;
    }
    const double variance =
        step.m_variance + queue.task_variance() + m_speeds.variance(run.m_worker, now);
    if (ratio - step.m_effect - slowness < usual_limit * std::sqrt(variance))
        m_speeds.clear_lagging(run.m_worker, run.m_began);
    step.m_samples.push_back({run.m_worker, m_speeds.life(run.m_worker), ratio});
    const auto compared = compare(step, queue.task_variance(), now);
    step.m_effect = compared.m_effect;
    step.m_variance = 1 / compared.m_precision;
    if (last || step.m_samples.size() >= max_samples)
        learn(run, compared, step, now);
}

// Compares the workers that ran tasks of the step, each by the mean of its runs: two runs on one
// worker tell nothing about how it compares with others.
run_times::comparison run_times::compare(const step_times& step, double task_variance,
                                         instant now) const
{
    comparison result;
    for (const auto& sample : step.m_samples)
    {
        auto worker = std::find_if(result.m_workers.begin(), result.m_workers.end(),
                                   [&sample](const auto& one)
                                   { return one.m_worker == sample.m_worker; });
        if (worker == result.m_workers.end())
        {
            if (m_speeds.life(sample.m_worker) != sample.m_life)
                continue;
            worker = result.m_workers.insert(worker, {.m_worker = sample.m_worker});
        }
        ++worker->m_runs;
        worker->m_sum += sample.m_log_ratio;
        worker->m_squares += sample.m_log_ratio * sample.m_log_ratio;
    }
    for (auto& worker : result.m_workers)
    {
        worker.m_effect = worker.mean() - m_speeds.log_factor(worker.m_worker);
        worker.m_variance =
            m_speeds.variance(worker.m_worker, now) + task_variance / worker.m_runs;
    }
    result.m_effect = step.m_prior_effect;
    // Each round weighs down the workers that are far off by the result of the one before.
    for (int round = 0; round < robust_rounds; ++round)
    {
        double precision = 1 / step.m_prior_variance;
        double sum = step.m_prior_effect * precision;
        for (auto& worker : result.m_workers)
        {
            const double limit =
                outlier_limit * std::sqrt(worker.m_variance + 1 / result.m_precision);
            const double distance = std::abs(worker.m_effect - result.m_effect);
            const bool far = round > 0 && distance > limit;
            worker.m_weight = (far ? limit / distance : 1) / worker.m_variance;
            precision += worker.m_weight;
            sum += worker.m_weight * worker.m_effect;
        }
        result.m_precision = precision;
        result.m_effect = sum / precision;
    }
    return result;
}

// Each worker learns from its difference to the others.
void run_times::learn(const finished_run& run, const comparison& compared, step_times& step,
                      instant now)
{
    auto& queue = open(run.m_queue.m_name).m_times;
    const double task_variance = queue.task_variance();
    const double weight = 1.0 / std::max(1, run.m_spec.m_count);
    for (const auto& worker : compared.m_workers)
    {
        const double precision = compared.m_precision - worker.m_weight;
        const double others =
            (compared.m_precision * compared.m_effect - worker.m_weight * worker.m_effect) /
            precision;
        const double surprise = worker.m_effect - others;
        const double explained = 1 / precision + m_speeds.variance(worker.m_worker, now);
        if (worker.m_runs > 1)
            queue.add_task_variance(worker.scatter(), weight * (worker.m_runs - 1));
        if (explained < std::max(well_known, task_variance))
        {
            const double limit = outlier_limit * std::sqrt(explained + task_variance);
            const double counted = std::min(std::abs(surprise), limit);
            queue.add_task_variance(
                std::max(0.0, counted * counted - explained) * worker.m_runs, weight);
        }
        m_speeds.learn(worker.m_worker, run.m_queue.m_service, surprise,
                       1 / precision + task_variance / worker.m_runs, now);
    }
    step.m_prior_effect = step.m_effect;
    step.m_prior_variance = step.m_variance;
    step.m_samples.clear();
}

std::optional<run_times::usual_time>
run_times::usual(const open_run& run, const step_times& step, instant now) const
{
    const auto& queue = find(run.m_queue.m_name).m_times;
    const double worker = queue.task_variance() + m_speeds.variance(run.m_worker, now);
    // What it has done so far, if that is more certain than any estimate.
    if (run.m_percent_before >= long_part_percent && run.m_elapsed_before > duration{})
        return usual_time{log_ms(run.m_elapsed_before * all_percent / run.m_percent_before), worker};
    const bool estimated = run.m_spec.m_expected_ms > 0;
    if (!step.m_known && (queue.steps() <= 0 || !estimated))
        return std::nullopt;
    const double expected =
        estimated ? queue.expected(log_estimate(run.m_spec), hash_of(run.m_spec.m_image)) : 0;
    const double variance = step.m_known ? step.m_variance : queue.step_variance();
    return usual_time{expected + step.m_effect + m_speeds.log_factor(run.m_worker),
                      variance + worker};
}

run_pace run_times::pace_of(const open_run& run, const step_times& step, instant now) const
{
    const auto time = usual(run, step, now);
    if (!time)
        return run_pace::unknown;
    const double factor =
        std::max(min_overdue_factor, std::exp(overdue_limit * std::sqrt(time->m_variance)));
    const auto limit = time_of(time->m_log_ms + std::log(factor)) + min_overdue_time;
    if (run.m_elapsed > limit)
        return run_pace::overdue;
    // Progress that hasn't begun may not be reported at all.
    const duration long_part = time_of(time->m_log_ms) * long_part_percent / all_percent;
    if (run.m_percent <= 0 || run.m_percent >= all_percent ||
        run.m_part < std::max<duration>(long_part, min_overdue_time))
        return run_pace::unknown;
    const auto whole = run.m_part * all_percent / (run.m_percent - run.m_percent_before + 1);
    return whole > limit ? run_pace::overdue : run_pace::usual;
}

void run_times::add_start_delay(const queue_id& queue, duration delay)
{
    auto& state = open(queue);
    constexpr int weight = 32;     // of the past
    constexpr int outlier = 4;     // deviations
    constexpr duration least = 1s; // to begin with
    const auto limit = state.m_delay_mean + outlier * state.m_delay_deviation + least;
    const auto error = std::min<duration>(delay, limit) - state.m_delay_mean;
    state.m_delays = std::min(weight, state.m_delays + 1);
    state.m_delay_mean += error / state.m_delays;
    state.m_delay_deviation += (std::chrono::abs(error) - state.m_delay_deviation) / state.m_delays;
}

duration run_times::start_delay(const queue_id& queue) const
{
    constexpr int deviations = 2;
    const auto& state = find(queue);
    return state.m_delay_mean + deviations * state.m_delay_deviation;
}

void run_times::for_each_queue(
    const std::function<void(const queue_id&, const queue_times&)>& visit) const
{
    for (const auto& [name, state] : m_queues)
        visit(name, state.m_times);
}

} // namespace dragonflygap::cell
