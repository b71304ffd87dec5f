#include "dragonflygap/core/time.hpp"

#include <atomic>

namespace dragonflygap
{

namespace
{

std::atomic<instant (*)()> source_in_use{nullptr};

} // namespace

void monotonic_clock::set_source(time_point (*source)())
{
    source_in_use = source;
}

monotonic_clock::time_point monotonic_clock::now()
{
    if (auto* const source = source_in_use.load(std::memory_order_relaxed))
        return source();
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace dragonflygap
