#pragma once

#include <algorithm>

#include "dragonflygap/cell/ports.hpp"

namespace simulated
{

using namespace dragonflygap;
using namespace dragonflygap::cell;

/// True if the store accepts a transaction of this size. The size of its call is estimated.
inline bool accepts(const transaction& change)
{
    constexpr std::size_t max_entries = 100;
    constexpr std::size_t row_bytes = 65536;
    constexpr std::size_t call_bytes = 1000000;
    constexpr std::size_t entry_bytes = 90;
    std::size_t bytes = change.entries() * entry_bytes;
    for (const auto& write : change.m_writes)
        bytes += write.m_value.size() * 4 / 3;
    return change.entries() <= max_entries && bytes <= call_bytes &&
           std::all_of(change.m_writes.begin(), change.m_writes.end(),
                       [](const transaction::write& write)
                       { return write.m_value.size() <= row_bytes; });
}

inline tl::unexpected<failure> rejected()
{
    return fail(verdict::not_run, reason::never_fits, "the store answered 400");
}

} // namespace simulated
