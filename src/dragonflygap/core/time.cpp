#include "dragonflygap/core/time.hpp"

#include <atomic>

namespace dragonflygap
{

namespace
{

std::atomic<instant (*)()> clock_source{nullptr};

} // namespace

void monotonic_clock::set_source(time_point (*source)())
{
    clock_source = source;
}

monotonic_clock::time_point monotonic_clock::now()
{
    if (auto* const source = clock_source.load(std::memory_order_relaxed))
        return source();
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

std::int64_t unix_ms()
{
    constexpr std::int64_t virtual_start_ms = 1'800'000'000'000;
    if (auto* const source = clock_source.load(std::memory_order_relaxed))
        return virtual_start_ms + to_ms(source().time_since_epoch());
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace dragonflygap
