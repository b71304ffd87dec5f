#include "dragonflygap/observe/usage.hpp"

#include <ctime>
#include <fstream>

#include <unistd.h>

namespace dragonflygap
{

duration thread_cpu_time()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(used.tv_sec) +
                                                std::chrono::nanoseconds(used.tv_nsec));
}

std::uint64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace dragonflygap
