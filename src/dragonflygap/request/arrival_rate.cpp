#include "dragonflygap/request/arrival_rate.hpp"

#include <cmath>

namespace dragonflygap::request
{

namespace
{

constexpr double fast_window_s = 1;
constexpr double slow_window_s = 30;
constexpr double min_rise_deviations = 3;
constexpr duration idle_timeout = 30s;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void arrival_rate::decay(instant now)
{
    const double elapsed = seconds(now - m_decayed_at);
    m_fast_rate *= std::exp(-elapsed / fast_window_s);
    m_slow_rate *= std::exp(-elapsed / slow_window_s);
    m_decayed_at = now;
}

void arrival_rate::record_arrival(instant now)
{
    decay(now);
    m_fast_rate += 1 / fast_window_s;
    m_slow_rate += 1 / slow_window_s;
    m_has_arrivals = true;
}

double arrival_rate::per_second(instant now) const
{
    auto decayed = *this;
    decayed.decay(now);
    // The short-term average fluctuates randomly; only a significant deviation counts as a rise.
    const double deviation = std::sqrt(decayed.m_slow_rate / (2 * fast_window_s));
    const bool rising = decayed.m_fast_rate > decayed.m_slow_rate + min_rise_deviations * deviation;
    return rising ? decayed.m_fast_rate : decayed.m_slow_rate;
}

double arrival_rate::sustained_per_second(instant now) const
{
    auto decayed = *this;
    decayed.decay(now);
    return decayed.m_slow_rate;
}

bool arrival_rate::is_idle(instant now) const
{
    return !m_has_arrivals || now - m_decayed_at > idle_timeout;
}

} // namespace dragonflygap::request
