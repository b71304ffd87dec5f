#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// What is known of one service's workers of each class.
struct class_speeds
{
    struct entry
    {
        std::size_t m_workers = 0; ///< With a known speed.
        double m_log_factor = 0;   ///< Mean log of run time compared with an average worker.
    };
    std::array<entry, speed_class_count> m_classes;

    const entry& of(speed_class speed) const { return m_classes[static_cast<std::size_t>(speed)]; }
    entry& of(speed_class speed) { return m_classes[static_cast<std::size_t>(speed)]; }
    /// False: no worker is known to differ from the others.
    bool differ() const { return spread() || of(speed_class::lagging).m_workers > 0; }
    /// The same, but for workers that lag for a while.
    bool spread() const
    {
        return of(speed_class::fast).m_workers + of(speed_class::slow).m_workers > 0;
    }
};

/// Learns how much longer or shorter runs take on each worker than on an average one of its
/// service, in natural logarithms. Answers the load of workers whose speeds differ by a factor of
/// two without any report that says so, and of a worker that slows down for some seconds. Does no
/// I/O.
class worker_speeds
{
public:
    /// Log of a worker's run times compared with an average worker; 0 if none is known.
    double log_factor(worker_number worker) const;
    /// Of log_factor().
    double variance(worker_number worker, instant now) const;

    /// Learns from a run that took longer than expected by this log factor, which was expected with
    /// this variance, not counting that of the worker.
    void learn(worker_number worker, const service_id& service, double surprise, double variance,
               instant now);

    /// The worker, or its present life, has ended.
    void forget(worker_number worker);
    /// Number of lives that ended under the worker's number.
    std::uint32_t life(worker_number worker) const;

    /// A run takes far longer than is usual there.
    void mark_lagging(worker_number worker, const service_id& service, instant now);
    /// The worker ran a task in about its usual time, or shorter, that began at this time.
    void clear_lagging(worker_number worker, instant began);
    /// True if the worker was found to lag after this time.
    bool lagged_since(worker_number worker, instant began) const;

    /// Decides anew which worker is of which class; returns those whose class changed. To be called
    /// every few hundred ms, as changes reorder the workers.
    std::vector<worker_number> update_classes(instant now);
    speed_class class_of(worker_number worker) const;

    /// Nothing is known of workers of other services.
    const class_speeds& classes(const service_id& service) const;
    std::size_t runs(worker_number worker) const;
    /// Workers with a known speed, by class as last decided.
    std::array<std::size_t, speed_class_count> counts() const;

private:
    struct service_group
    {
        std::size_t m_workers = 0;
        double m_sum = 0; ///< Of m_effect.
        // Products of what was known of a worker and what its next runs showed: in the mean, the
        // variance of the speeds that is known. Chance alone gives a mean of zero.
        double m_products = 0;
        double m_sum_products = 0;
        double m_sum_squares = 0; ///< Of the products.
        bool m_differs = false;
        class_speeds m_classes;
    };
    struct record
    {
        service_group* m_group = nullptr; ///< nullptr: nothing is known.
        std::uint32_t m_life = 0;
        double m_effect = 0;              ///< Log factor, up to a constant of the group.
        double m_variance = 0;
        instant m_learned_at{};
        int m_outliers = 0; ///< In a row; negative: runs shorter than expected.
        std::size_t m_runs = 0;
        instant m_lagging_since{}; ///< The last time; stays when it ends.
        instant m_lagging_until{};
        speed_class m_class = speed_class::usual;
    };

    record& open(worker_number worker, const service_id& service);
    const record* find(worker_number worker) const;
    double relative_effect(const record& one) const;
    static void check_prediction(service_group& group, double predicted, double observed);
    static bool differs(const service_group& group);
    speed_class choose_class(const record& one, instant now) const;
    static double variance_of(const record& one, instant now);

    std::vector<record> m_records; ///< By worker number.
    std::map<service_id, service_group> m_groups;
};

} // namespace dragonflygap::cell
