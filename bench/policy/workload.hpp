#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::bench
{

/// A request as the bench knows it: with its run time, which no scheduler is told.
struct arrival
{
    instant m_at{};
    class_id m_class;
    caller_id m_caller;
    duration m_run_time{};
    duration m_deadline{};
    std::size_t m_node = 0; ///< The entry VM that it reaches.
};

/// A stream of requests of one class.
struct stream
{
    std::string m_class;
    double m_per_second = 1; ///< Groups a second.
    int m_group = 1;         ///< Requests that come at the same moment.
    duration m_run_time = 10ms;
    double m_spread = 0.3; ///< Of the run times: sigma of their logarithm.
    double m_straggler_share = 0;
    double m_straggler_times = 10; ///< How much longer a straggler runs.
    duration m_deadline = 10s;
    int m_callers = 10;
    double m_flood_share = 0; ///< Share of the first caller; the others share the rest.
    duration m_from{};
    duration m_until = 60s;
    std::size_t m_node = 0;
};

/// Poisson arrivals of all streams in order of time; the same for the same seed.
std::vector<arrival> make_arrivals(const std::vector<stream>& streams, std::uint64_t seed);

/// The same arrivals without those of a class.
std::vector<arrival> without(const std::vector<arrival>& arrivals, const std::string& name);

} // namespace dragonflygap::bench
