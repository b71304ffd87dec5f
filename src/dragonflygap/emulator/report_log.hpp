#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::emulator
{

/// Remembers when each task's report last changed, so that an owner is told only what is new to it.
class report_log
{
public:
    /// The instance tells this process's cursors from those of an earlier one.
    explicit report_log(std::uint64_t instance) : m_instance(instance) {}

    /// The answer for an owner that was last given the cursor; empty: none.
    platform::renewal answer(const std::vector<platform::task_report>& reports,
                             std::string_view known_cursor);

private:
    struct logged_report
    {
        platform::task_report m_report;
        std::uint64_t m_changed = 0;
    };

    void update(const std::vector<platform::task_report>& reports);
    std::uint64_t revision_of(std::string_view cursor) const;

    std::uint64_t m_instance;
    std::uint64_t m_revision = 0;
    std::map<task_id, logged_report> m_reports;
};

} // namespace dragonflygap::emulator
