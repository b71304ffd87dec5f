#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

monotonic_clock::time_point monotonic_clock::now()
{
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

} // namespace dragonflygap
