#pragma once

#include <cstdint>
#include <set>
#include <tuple>
#include <vector>

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

/// Due times of scheduled occurrences, earliest first. Holds only the next occurrence of each job,
/// so a check costs nothing while none is due. Does no I/O.
class occurrence_timetable
{
public:
    /// Adds a job's occurrences; ignores a job without a schedule.
    void add(const job_id& job, const job_request& request);

    /// Removes the occurrences due by this time and returns them in order of time. Returns each one
    /// once, even if the wall clock is set back.
    std::vector<occurrence_key> pop_due(std::int64_t unix_ms);

    bool empty() const { return m_next.empty(); }

private:
    struct entry
    {
        std::int64_t m_due_ms = 0; ///< Unix time.
        job_id m_job;
        int m_occurrence = 0;
        int m_remaining = 0; ///< Occurrences after this one.
        std::int64_t m_interval_ms = 0;

        bool operator<(const entry& other) const
        {
            return std::tie(m_due_ms, m_job) < std::tie(other.m_due_ms, other.m_job);
        }
    };
    std::set<entry> m_next;
};

} // namespace dragonflygap::cell
