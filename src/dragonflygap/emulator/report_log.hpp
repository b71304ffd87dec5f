#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::emulator
{

/// Records the revision of each task's last change, so that an owner gets only newer reports.
class report_log
{
public:
    /// The instance distinguishes this process's cursors from those of an earlier process.
    explicit report_log(std::uint64_t instance) : m_instance(instance) {}

    /// The reports that changed since the cursor; all of them if it is empty or of another
    /// instance.
    platform::renewal answer(const std::vector<platform::task_report>& reports,
                             std::string_view known_cursor);

private:
    struct logged_report
    {
        platform::task_report m_report;
        std::uint64_t m_changed_revision = 0;
    };

    void update(const std::vector<platform::task_report>& reports);
    std::uint64_t revision_of(std::string_view cursor) const;

    std::uint64_t m_instance;
    std::uint64_t m_revision = 0;
    std::map<task_id, logged_report> m_reports;
};

} // namespace dragonflygap::emulator
