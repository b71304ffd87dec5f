#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "dragonflygap/core/resources.hpp"

namespace dragonflygap::placement
{

/// Position of a worker in the index; reused after the worker is removed.
using worker_slot = std::uint32_t;

/// Capacity that no task fits in.
constexpr resources no_capacity{-1, -1, -1};

/// Free capacity of all workers, stored in blocks. Each block keeps the maximum that any of its
/// workers has free in each dimension, so that a search skips full blocks.
class worker_index
{
public:
    worker_slot add();
    void remove(worker_slot slot);

    /// Negative capacity, as of an overcommitted worker, is allowed; nothing fits in it.
    void set_free(worker_slot slot, const resources& free);

    const resources& free(worker_slot slot) const { return m_free[slot]; }

    /// All slots in use are below this.
    std::size_t size() const { return m_free.size(); }

    /// Calls visit(slot, free) for each worker that the size fits on.
    template <class Visit>
    void for_each_fitting(const resources& size, const Visit& visit) const
    {
        for (std::size_t block = 0; block < m_block_max_free.size(); ++block)
        {
            if (!size.fits_in(m_block_max_free[block]))
                continue;
            const auto end = std::min(m_free.size(), (block + 1) * block_size);
            for (auto slot = block * block_size; slot < end; ++slot)
                if (size.fits_in(m_free[slot]))
                    visit(static_cast<worker_slot>(slot), m_free[slot]);
        }
    }

private:
    static constexpr std::size_t block_size = 32;

    void update_block(std::size_t block);

    std::vector<resources> m_free;
    std::vector<resources> m_block_max_free;
    std::vector<worker_slot> m_unused;
};

} // namespace dragonflygap::placement
