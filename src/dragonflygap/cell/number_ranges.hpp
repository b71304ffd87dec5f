#pragma once

#include <map>

namespace dragonflygap::cell
{

/// A set of numbers, kept as ranges without gaps.
class number_ranges
{
public:
    /// Adds all numbers from first to last.
    void insert(int first, int last);
    void insert(int number) { insert(number, number); }

    bool contains(int number) const { return next_absent(number) != number; }

    /// The smallest number from here on that isn't in the set.
    int next_absent(int number) const;

    /// The numbers that are in both sets.
    number_ranges intersection(const number_ranges& other) const;

    /// First and last number of each range, in order. No two ranges touch.
    const std::map<int, int>& ranges() const { return m_ranges; }

private:
    std::map<int, int> m_ranges;
};

} // namespace dragonflygap::cell
