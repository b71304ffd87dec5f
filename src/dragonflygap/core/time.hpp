#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflygap
{

/// Monotonic clock of one process; instants of two processes can't be compared.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;

    /// Current time. For adapters only: decision modules receive it as an argument.
    static time_point now();

    /// Replaces the clock behind now(), for virtual time; nullptr restores the real clock.
    static void set_source(time_point (*source)());
};

using duration = monotonic_clock::duration;
using instant = monotonic_clock::time_point;

/// Wall-clock time in ms since 1970, which may jump; derived from the virtual clock if one is
/// set. For adapters only.
std::int64_t unix_ms();

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Whole milliseconds of a duration, rounded down.
constexpr long long to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace dragonflygap
