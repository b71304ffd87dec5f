#pragma once

#include <chrono>
#include <cstdint>

namespace dragonflygap
{

/// Time of one process, never set back; instants of two processes can't be compared.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;

    /// Current instant. For adapters only: decision modules are given their time.
    static time_point now();

    /// Makes now() ask another clock, so that adapters run on virtual time; nullptr: the real one.
    static void set_source(time_point (*source)());
};

using duration = monotonic_clock::duration;
using instant = monotonic_clock::time_point;

/// Time of day in ms since 1970, which may jump; that of the virtual clock where one is set. For
/// adapters only.
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
