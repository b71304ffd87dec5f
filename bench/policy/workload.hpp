#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::bench
{

/// A request with its true run time, which is hidden from the schedulers other than the oracle.
struct arrival
{
    instant m_at{};
    class_id m_class;
    caller_id m_caller;
    duration m_run_time{};
    duration m_deadline{};
    std::size_t m_node = 0; ///< Entry VM that receives it.
};

/// A stream of requests of one class.
struct stream
{
    std::string m_class;
    double m_groups_per_second = 1;
    int m_group_size = 1; ///< Requests that arrive at the same instant.
    duration m_run_time = 10ms;
    double m_run_time_sigma = 0.3; ///< Standard deviation of the logarithm of the run times.
    double m_straggler_share = 0;
    double m_straggler_factor = 10; ///< Run time of a straggler, as a multiple of the usual one.
    duration m_deadline = 10s;
    int m_caller_count = 10;
    double m_flood_share = 0; ///< Share sent by the first caller alone; all callers share the rest.
    duration m_from{};
    duration m_until = 60s;
    std::size_t m_node = 0;
};

/// Poisson arrivals of all streams, sorted by time; deterministic for a seed.
std::vector<arrival> make_arrivals(const std::vector<stream>& streams, std::uint64_t seed);

/// The arrivals of all classes but the one named.
std::vector<arrival> without_class(const std::vector<arrival>& arrivals, const std::string& name);

} // namespace dragonflygap::bench
