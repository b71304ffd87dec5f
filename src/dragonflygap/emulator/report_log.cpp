#include "dragonflygap/emulator/report_log.hpp"

#include <charconv>
#include <utility>

namespace dragonflygap::emulator
{

void report_log::update(const std::vector<platform::task_report>& reports)
{
    std::map<task_id, logged_report> next;
    for (const auto& report : reports)
    {
        auto& logged = next[report.m_task];
        if (const auto known = m_reports.find(report.m_task); known != m_reports.end())
            logged = known->second;
        if (logged.m_changed_revision != 0 && logged.m_report == report)
            continue;
        logged = {report, ++m_revision};
    }
    m_reports = std::move(next);
}

std::uint64_t report_log::revision_of(std::string_view cursor) const
{
    const auto prefix = std::to_string(m_instance) + ":";
    if (!cursor.starts_with(prefix))
        return 0;
    std::uint64_t revision = 0;
    std::from_chars(cursor.data() + prefix.size(), cursor.data() + cursor.size(), revision);
    return revision;
}

platform::renewal report_log::answer(const std::vector<platform::task_report>& reports,
                                     std::string_view known_cursor)
{
    update(reports);
    const auto known_revision = revision_of(known_cursor);
    platform::renewal result{.m_cursor =
                                 std::to_string(m_instance) + ":" + std::to_string(m_revision),
                             .m_complete = known_revision == 0,
                             .m_count = m_reports.size()};
    for (const auto& [task, logged] : m_reports)
        if (logged.m_changed_revision > known_revision)
            result.m_tasks.push_back(logged.m_report);
    return result;
}

} // namespace dragonflygap::emulator
