#include "dragonflygap/request/arrival_rate.hpp"

#include <cmath>

namespace dragonflygap::request
{

namespace
{

constexpr double fast_s = 1;
constexpr double slow_s = 30;
constexpr double chance_deviations = 3;
constexpr duration quiet_after = 30s;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void arrival_rate::decay(instant now)
{
    const double passed = seconds(now - m_last);
    m_fast *= std::exp(-passed / fast_s);
    m_slow *= std::exp(-passed / slow_s);
    m_last = now;
}

void arrival_rate::arrived(instant now)
{
    decay(now);
    m_fast += 1 / fast_s;
    m_slow += 1 / slow_s;
    m_any = true;
}

double arrival_rate::per_second(instant now) const
{
    auto copy = *this;
    copy.decay(now);
    // A short average swings by chance; only what goes beyond that is a rise.
    const double by_chance = std::sqrt(copy.m_slow / (2 * fast_s));
    const bool rising = copy.m_fast > copy.m_slow + chance_deviations * by_chance;
    return rising ? copy.m_fast : copy.m_slow;
}

double arrival_rate::lasting_per_second(instant now) const
{
    auto copy = *this;
    copy.decay(now);
    return copy.m_slow;
}

bool arrival_rate::quiet(instant now) const
{
    return !m_any || now - m_last > quiet_after;
}

} // namespace dragonflygap::request
