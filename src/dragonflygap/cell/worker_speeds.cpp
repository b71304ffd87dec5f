#include "dragonflygap/cell/worker_speeds.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflygap::cell
{

namespace
{

// Before its first run a worker is taken to differ from the average by a factor of 1.65 or less, in
// two thirds of all cases.
constexpr double prior_variance = 0.25;
// A speed may change with time and with what else runs there. This much variance for each run and
// each second lets some 20 runs count.
constexpr double variance_growth = 0.0003;
// A single run counts as no more than this many standard deviations off.
constexpr double outlier_limit = 2.5;
// That many in a row, on the same side, show that the worker has changed.
constexpr int outliers_of_change = 2;
constexpr double variance_after_change = prior_variance / 2;

// The classes are used only if what is known of the workers' speeds predicts their next runs: if
// known speeds differ at least by 14%, and by 10% once they were in use (standard deviations).
constexpr double min_spread = 0.02;
constexpr double kept_spread = 0.01;
// Standard errors by which the spread has to exceed zero, so that chance rarely does it.
constexpr double min_certainty = 4;
// The past counts with 2,000 runs: a few seconds at 700 a second.
constexpr double prediction_decay = 1.0 / 2000;
constexpr std::size_t min_runs = 2; // until what is known of a worker counts
// Distance from the average at which a worker is classed as fast or slow, and at which it stays so.
constexpr double class_distance = 0.15;
constexpr double kept_distance = 0.08;
// The same for a single worker where the others differ little.
constexpr double lone_distance = 0.4;
constexpr double lone_kept_distance = 0.25;
constexpr double lone_certainty = 3; // in standard deviations

// Workers were seen to turn slow for 5 to 8 s. If it lasts, the runs that end tell.
constexpr duration lagging_time = 8s;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

const worker_speeds::record* worker_speeds::find(worker_number worker) const
{
    return worker < m_records.size() && m_records[worker].m_group != nullptr ? &m_records[worker]
                                                                             : nullptr;
}

worker_speeds::record& worker_speeds::open(worker_number worker, const service_id& service)
{
    if (worker >= m_records.size())
        m_records.resize(worker + 1);
    auto& group = m_groups[service];
    auto& one = m_records[worker];
    if (one.m_group == &group)
        return one;
    if (one.m_group != nullptr)
        forget(worker);
    one = {.m_group = &group, .m_life = one.m_life, .m_variance = prior_variance};
    // It doesn't change the mean.
    one.m_effect = group.m_workers == 0
                       ? 0
                       : group.m_sum / static_cast<double>(group.m_workers);
    ++group.m_workers;
    group.m_sum += one.m_effect;
    return one;
}

void worker_speeds::forget(worker_number worker)
{
    if (worker >= m_records.size())
        m_records.resize(worker + 1);
    auto& one = m_records[worker];
    if (one.m_group != nullptr)
    {
        --one.m_group->m_workers;
        one.m_group->m_sum -= one.m_effect;
    }
    one = {.m_life = one.m_life + 1};
}

std::uint32_t worker_speeds::life(worker_number worker) const
{
    return worker < m_records.size() ? m_records[worker].m_life : 0;
}

double worker_speeds::relative_effect(const record& one) const
{
    return one.m_effect - one.m_group->m_sum / static_cast<double>(one.m_group->m_workers);
}

double worker_speeds::variance_of(const record& one, instant now)
{
    const double since = std::max(0.0, seconds(now - one.m_learned_at));
    return std::min(prior_variance, one.m_variance + variance_growth * (1 + since));
}

double worker_speeds::log_factor(worker_number worker) const
{
    const auto* one = find(worker);
    return one == nullptr ? 0 : relative_effect(*one);
}

double worker_speeds::variance(worker_number worker, instant now) const
{
    const auto* one = find(worker);
    return one == nullptr ? prior_variance : variance_of(*one, now);
}

std::array<std::size_t, speed_class_count> worker_speeds::counts() const
{
    std::array<std::size_t, speed_class_count> result{};
    for (const auto& [service, group] : m_groups)
        for (std::size_t i = 0; i < result.size(); ++i)
            result[i] += group.m_classes.m_classes[i].m_workers;
    return result;
}

std::size_t worker_speeds::runs(worker_number worker) const
{
    const auto* one = find(worker);
    return one == nullptr ? 0 : one->m_runs;
}

void worker_speeds::learn(worker_number worker, const service_id& service, double surprise,
                          double variance, instant now)
{
    auto& one = open(worker, service);
    double own = variance_of(one, now);
    const bool outlier = std::abs(surprise) > outlier_limit * std::sqrt(own + variance);
    if (!outlier)
        one.m_outliers = 0;
    else
        one.m_outliers =
            surprise > 0 ? std::max(0, one.m_outliers) + 1 : std::min(0, one.m_outliers) - 1;
    if (std::abs(one.m_outliers) >= outliers_of_change)
        own = std::max(own, variance_after_change);
    const double limit = outlier_limit * std::sqrt(own + variance);
    const double gain = own / (own + variance);
    const double counted = std::clamp(surprise, -limit, limit);
    if (one.m_runs >= min_runs)
        check_prediction(*one.m_group, relative_effect(one), relative_effect(one) + counted);
    const double change = gain * counted;
    one.m_effect += change;
    one.m_group->m_sum += change;
    one.m_variance = own * (1 - gain);
    one.m_learned_at = now;
    ++one.m_runs;
}

void worker_speeds::mark_lagging(worker_number worker, const service_id& service, instant now)
{
    auto& one = open(worker, service);
    // Runs that begin while it lags count, so that a worker that stays slow becomes known as slow.
    if (now >= one.m_lagging_until)
        one.m_lagging_since = now;
    one.m_lagging_until = now + lagging_time;
}

void worker_speeds::clear_lagging(worker_number worker, instant began)
{
    if (find(worker) != nullptr && began >= m_records[worker].m_lagging_since)
        m_records[worker].m_lagging_until = {};
}

bool worker_speeds::lagged_since(worker_number worker, instant began) const
{
    const auto* one = find(worker);
    return one != nullptr && one->m_lagging_since > began;
}

speed_class worker_speeds::class_of(worker_number worker) const
{
    const auto* one = find(worker);
    return one == nullptr ? speed_class::usual : one->m_class;
}

const class_speeds& worker_speeds::classes(const service_id& service) const
{
    static const class_speeds none;
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? none : found->second.m_classes;
}

void worker_speeds::check_prediction(service_group& group, double predicted, double observed)
{
    const double product = predicted * observed;
    const double kept = 1 - prediction_decay;
    group.m_products = kept * group.m_products + 1;
    group.m_sum_products = kept * group.m_sum_products + product;
    group.m_sum_squares = kept * group.m_sum_squares + product * product;
}

// Holds whatever the errors of the estimates are, which their own variances may understate.
bool worker_speeds::differs(const service_group& group)
{
    if (group.m_products < 1)
        return false;
    const double spread = group.m_sum_products / group.m_products;
    const double variance = group.m_sum_squares / group.m_products - spread * spread;
    const double error = std::sqrt(std::max(0.0, variance) / group.m_products);
    return group.m_differs ? spread > kept_spread
                           : spread > min_spread && spread > min_certainty * error;
}

speed_class worker_speeds::choose_class(const record& one, instant now) const
{
    if (now < one.m_lagging_until)
        return speed_class::lagging;
    if (one.m_runs == 0)
        return speed_class::usual;
    const double effect = relative_effect(one);
    const double error = std::sqrt(variance_of(one, now));
    const auto unlike = effect < 0 ? speed_class::fast : speed_class::slow;
    const bool kept = one.m_class == unlike;
    double distance = 0;
    if (one.m_group->m_differs)
        distance = kept ? kept_distance : class_distance + error;
    else
        distance = kept ? lone_kept_distance + error : lone_distance + lone_certainty * error;
    return std::abs(effect) > distance ? unlike : speed_class::usual;
}

std::vector<worker_number> worker_speeds::update_classes(instant now)
{
    for (auto& [service, group] : m_groups)
    {
        // Anew, so that no error of rounding adds up.
        group.m_sum = 0;
        for (const auto& one : m_records)
            group.m_sum += one.m_group == &group ? one.m_effect : 0;
        group.m_differs = differs(group);
        group.m_classes = {};
    }
    std::vector<worker_number> changed;
    for (std::size_t i = 0; i < m_records.size(); ++i)
    {
        auto& one = m_records[i];
        if (one.m_group == nullptr)
            continue;
        const auto before = one.m_class;
        one.m_class = choose_class(one, now);
        if (one.m_class != before)
            changed.push_back(static_cast<worker_number>(i));
        auto& entry = one.m_group->m_classes.of(one.m_class);
        ++entry.m_workers;
        entry.m_log_factor += relative_effect(one);
    }
    for (auto& [service, group] : m_groups)
        for (auto& entry : group.m_classes.m_classes)
            if (entry.m_workers > 0)
                entry.m_log_factor /= static_cast<double>(entry.m_workers);
    return changed;
}

} // namespace dragonflygap::cell
