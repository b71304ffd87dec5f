#pragma once

#include <cstdint>

namespace dragonflygap::request
{

/// Next value of a deterministic pseudo-random sequence (splitmix64).
inline std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/// Next value of the sequence, uniform in [0, 1).
inline double next_fraction(std::uint64_t& state)
{
    return static_cast<double>(next_random(state) >> 11) * 0x1p-53;
}

} // namespace dragonflygap::request
