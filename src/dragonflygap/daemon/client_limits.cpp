#include "dragonflygap/daemon/client_limits.hpp"

#include <sys/resource.h>
#include <unistd.h>

namespace dragonflygap::daemon
{

namespace
{

constexpr std::size_t bytes_per_mb = 1 << 20;

std::size_t machine_memory_bytes()
{
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
           static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t max_descriptors()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace

http_shares client_limits(const config::settings& settings)
{
    return divide({.m_memory_bytes =
                       settings.m_cell
                           ? static_cast<std::size_t>(settings.m_cell->m_memory_mb) * bytes_per_mb
                           : machine_memory_bytes(),
                   .m_descriptors = max_descriptors(),
                   .m_max_body_bytes = settings.m_max_body_bytes,
                   .m_max_connections = settings.m_max_connections,
                   .m_max_buffered_bytes = settings.m_max_buffered_bytes});
}

} // namespace dragonflygap::daemon
