#include "dragonflygap/cell/number_ranges.hpp"

#include <algorithm>
#include <iterator>

namespace dragonflygap::cell
{

void number_ranges::insert(int first, int last)
{
    if (last < first)
        return;
    auto next = m_ranges.upper_bound(first);
    if (next != m_ranges.begin())
        if (const auto before = std::prev(next); before->second >= first - 1)
        {
            first = before->first;
            next = before;
        }
    while (next != m_ranges.end() && next->first - 1 <= last)
    {
        last = std::max(last, next->second);
        next = m_ranges.erase(next);
    }
    m_ranges[first] = last;
}

int number_ranges::next_absent(int number) const
{
    const auto next = m_ranges.upper_bound(number);
    if (next == m_ranges.begin())
        return number;
    return std::max(number, std::prev(next)->second + 1);
}

number_ranges number_ranges::intersection(const number_ranges& other) const
{
    number_ranges result;
    auto left = m_ranges.begin();
    auto right = other.m_ranges.begin();
    while (left != m_ranges.end() && right != other.m_ranges.end())
    {
        result.insert(std::max(left->first, right->first), std::min(left->second, right->second));
        if (left->second < right->second)
            ++left;
        else
            ++right;
    }
    return result;
}

} // namespace dragonflygap::cell
