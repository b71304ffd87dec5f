#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

#include "dragonflygap/core/endpoint.hpp"

namespace hostile
{

using namespace dragonflygap;

struct daemon_options
{
    std::string m_settings;            ///< Content of the settings file.
    std::size_t m_max_descriptors = 0; ///< Limit of the process; 0: that of the test.
};

/// A dragonflygapd process on loopback, ended by its id when the object is destroyed.
class daemon_process
{
public:
    explicit daemon_process(const daemon_options& options);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    bool running();
    std::size_t resident_kb() const { return status_kb("VmRSS:"); }
    /// Highest resident set size since the process started.
    std::size_t peak_resident_kb() const { return status_kb("VmHWM:"); }
    std::size_t open_descriptors() const;

private:
    std::size_t status_kb(const std::string& field) const;

    std::string m_settings_file;
    pid_t m_pid = -1;
    bool m_ended = false;
};

/// Distinct loopback addresses on which nothing listens.
std::vector<endpoint> unused_addresses(std::size_t count);

} // namespace hostile
