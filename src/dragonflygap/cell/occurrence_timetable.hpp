#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "dragonflygap/cell/job_request.hpp"

namespace dragonflygap::cell
{

/// One run of a scheduled job's steps.
struct occurrence_key
{
    job_id m_job;
    int m_occurrence = 0;

    bool operator==(const occurrence_key&) const = default;
};

/// Unix time in ms at which an occurrence of a scheduled job is due.
std::int64_t due_time(const job_request& request, int occurrence);

/// Due times of scheduled occurrences, earliest first. Holds only the next occurrence of each job,
/// so a check costs nothing while none is due. Does no I/O.
class occurrence_timetable
{
public:
    /// Begins an occurrence that is due and returns the one to begin after it; nothing if it has to
    /// wait.
    using begin_hook = std::function<std::optional<int>(const occurrence_key&)>;

    /// Adds a job's occurrences from this one on; ignores a job without a schedule.
    void add(const job_id& job, const job_request& request, int first = 0);
    void remove(const job_id& job);

    /// Begins the occurrences due by this time in the order of their times; each one once, even if
    /// the wall clock is set back. While one has to wait, so do the later ones of its job.
    void begin_due(std::int64_t unix_ms, const begin_hook& begin);

    bool empty() const { return m_next.empty(); }

private:
    struct schedule
    {
        int m_next = 0; ///< The occurrence to begin next.
        int m_count = 0;
        std::int64_t m_first_due_ms = 0; ///< Unix time.
        std::int64_t m_interval_ms = 0;

        std::int64_t due_ms() const { return m_first_due_ms + m_next * m_interval_ms; }
    };

    std::set<std::pair<std::int64_t, job_id>> m_next; ///< Due time of each job's next occurrence.
    std::map<job_id, schedule> m_schedules;
};

} // namespace dragonflygap::cell
