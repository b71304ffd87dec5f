#include "dragonflygap/cell/occurrence_timetable.hpp"

namespace dragonflygap::cell
{

std::int64_t due_time(const job_request& request, int occurrence)
{
    return request.m_first_due_ms + occurrence * request.m_interval_ms;
}

void occurrence_timetable::add(const job_id& job, const job_request& request, int first)
{
    if (first >= request.m_occurrences)
        return;
    const schedule added{.m_next = first,
                         .m_count = request.m_occurrences,
                         .m_first_due_ms = request.m_first_due_ms,
                         .m_interval_ms = request.m_interval_ms};
    m_next.emplace(added.due_ms(), job);
    m_schedules[job] = added;
}

void occurrence_timetable::remove(const job_id& job)
{
    const auto found = m_schedules.find(job);
    if (found == m_schedules.end())
        return;
    m_next.erase({found->second.due_ms(), job});
    m_schedules.erase(found);
}

void occurrence_timetable::begin_due(std::int64_t unix_ms, const begin_hook& begin)
{
    for (auto entry = m_next.begin(); entry != m_next.end() && entry->first <= unix_ms;)
    {
        auto& next = m_schedules.at(entry->second);
        const auto following = begin({entry->second, next.m_next});
        if (!following)
        {
            ++entry;
            continue;
        }
        const auto begun = *entry;
        m_next.erase(entry);
        next.m_next = *following;
        if (next.m_next < next.m_count)
            m_next.emplace(next.due_ms(), begun.second);
        else
            m_schedules.erase(begun.second);
        entry = m_next.lower_bound(begun);
    }
}

} // namespace dragonflygap::cell
