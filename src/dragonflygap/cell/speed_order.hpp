#pragma once

#include <array>
#include <cstddef>
#include <limits>
#include <map>

#include "dragonflygap/cell/worker_speeds.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// The order in which a step uses and asks about workers of the classes. It never excludes any.
class speed_order
{
public:
    /// The same position for all classes: speed doesn't matter.
    speed_order() = default;
    /// By rising rank; of equal ranks the faster class is first. wanted: the classes that the step
    /// needs to be in time; all, if it may run anywhere.
    speed_order(const std::array<int, speed_class_count>& ranks,
                const std::array<bool, speed_class_count>& wanted);

    bool matters() const { return m_matters; }
    /// The step may be late on some class and not, or less likely, on another.
    bool needs_speed() const { return m_needs_speed; }
    bool wants(speed_class speed) const { return m_wanted[static_cast<std::size_t>(speed)]; }
    int position(speed_class speed) const { return m_positions[static_cast<std::size_t>(speed)]; }
    const std::array<speed_class, speed_class_count>& classes() const { return m_classes; }

private:
    std::array<speed_class, speed_class_count> m_classes{speed_class::fast, speed_class::usual,
                                                         speed_class::slow, speed_class::lagging};
    std::array<int, speed_class_count> m_positions{};
    std::array<bool, speed_class_count> m_wanted{true, true, true, true};
    bool m_matters = false;
    bool m_needs_speed = false;
};

/// What a step needs to end within a limit of its job: the objective, or the multiple of it up to
/// which the job is of some use.
struct step_need
{
    int m_priority = 0;
    int m_tasks = 1;
    duration m_expected{};       ///< Of one task on an average worker.
    duration m_others{};         ///< Of the steps that follow.
    duration m_chain{};          ///< The whole job's longest chain of work.
    double m_stretch = 0;        ///< The limit is this multiple of the chain,
    duration m_slack{};          ///< and this slack.
    duration m_age{};            ///< Of the job.
    duration m_start_delay{};    ///< Until the step's tasks will have started, at worst.
    double m_step_deviation = 0; ///< Standard deviations of logs: of the step's time,
    double m_task_deviation = 0; ///< and of a task's compared with it.
};

/// Log of how slow a worker may be, compared with an average one, that runs the step within the
/// limit; negative infinity: no worker is fast enough.
double certain_log_factor(const step_need& need);  ///< Even if delays and times turn out long.
double possible_log_factor(const step_need& need); ///< If all goes well from now on.

/// Remembers which classes are needed by steps that may be late on another one, and whether they
/// found room there. While they don't, the other steps take these workers last. Answers the load of
/// urgent steps beside others that may run anywhere: where the others never left the fast workers,
/// urgent steps would be late when these are full; where they always did, they would crowd the slow
/// ones beside idle fast ones.
class speed_demand
{
public:
    /// To be called before each pass.
    void begin_pass(instant now);

    /// The order for a step. objective and last_use: the needs for its objective and for the
    /// multiple of it; nullptr: the step has none.
    speed_order choose(const class_speeds& speeds, const step_need* objective,
                       const step_need* last_use, instant now);

    /// Tasks of a step that needs speed were started; this many of them where it may be late.
    void started(int priority, int tasks, int missed, instant now);

private:
    struct fitness
    {
        std::array<bool, speed_class_count> m_certain{};
        bool m_some_possible = false;
        bool m_all_certain = false; ///< Of the classes that some worker is of.
    };
    /// Started tasks of steps of one priority that need speed; the past decays.
    struct usage
    {
        double m_tasks = 0;
        double m_missed = 0;
        instant m_at{};
    };

    static fitness measure(const class_speeds& speeds, const step_need& need);
    static std::array<bool, speed_class_count> wanted_classes(const class_speeds& speeds,
                                                              const fitness& found);
    static void decay(usage& used, instant now);

    std::array<instant, speed_class_count> m_needed_until{};
    std::map<int, usage> m_usage; ///< By priority.
    /// The most urgent steps that need speed and don't find it; of others that need it, the less
    /// urgent ones take these workers last.
    int m_first_short = std::numeric_limits<int>::max();
};

} // namespace dragonflygap::cell
