#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "dragonflygap/core/resources.hpp"

namespace dragonflygap::placement
{

/// Position of a worker in the index; used again after the worker was removed.
using worker_slot = std::uint32_t;

/// Room that no task fits in.
constexpr resources closed_room{-1, -1, -1};

/// Free room of all workers, densely and by blocks. A block knows the most that any of its
/// workers has free in each dimension, so that a search passes over full blocks at once.
class worker_index
{
public:
    worker_slot add();
    void remove(worker_slot slot);

    /// Negative room, as left by an overcommitted worker, is allowed and fits nothing.
    void set_free(worker_slot slot, const resources& free);

    const resources& free(worker_slot slot) const { return m_free[slot]; }

    /// Slots in use are below this.
    std::size_t size() const { return m_free.size(); }

    /// Calls visit(slot, free) for each worker that has room for the size.
    template <class Visit>
    void for_each_fitting(const resources& size, const Visit& visit) const
    {
        for (std::size_t block = 0; block < m_most_free.size(); ++block)
        {
            if (!size.fits_in(m_most_free[block]))
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
    std::vector<resources> m_most_free;
    std::vector<worker_slot> m_unused;
};

} // namespace dragonflygap::placement
