#include "dragonflygap/cell/occurrence_timetable.hpp"

#include <utility>

namespace dragonflygap::cell
{

void occurrence_timetable::add(const job_id& job, const job_request& request)
{
    if (request.m_occurrences > 0)
        m_next.insert({.m_due_ms = request.m_first_due_ms,
                       .m_job = job,
                       .m_remaining = request.m_occurrences - 1,
                       .m_interval_ms = request.m_interval_ms});
}

std::vector<occurrence_key> occurrence_timetable::pop_due(std::int64_t unix_ms)
{
    std::vector<occurrence_key> due;
    while (!m_next.empty() && m_next.begin()->m_due_ms <= unix_ms)
    {
        auto next = std::move(m_next.extract(m_next.begin()).value());
        due.push_back({next.m_job, next.m_occurrence});
        if (next.m_remaining == 0)
            continue;
        --next.m_remaining;
        ++next.m_occurrence;
        next.m_due_ms += next.m_interval_ms;
        m_next.insert(std::move(next));
    }
    return due;
}

} // namespace dragonflygap::cell
