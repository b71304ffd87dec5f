#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

namespace
{

resources most_of(const resources& left, const resources& right)
{
    return {std::max(left.m_millicores, right.m_millicores),
            std::max(left.m_memory_mb, right.m_memory_mb),
            std::max(left.m_accelerators, right.m_accelerators)};
}

} // namespace

worker_slot worker_index::add()
{
    if (!m_unused.empty())
    {
        const auto slot = m_unused.back();
        m_unused.pop_back();
        return slot;
    }
    m_free.push_back(closed_room);
    m_most_free.resize((m_free.size() + block_size - 1) / block_size, closed_room);
    return static_cast<worker_slot>(m_free.size() - 1);
}

void worker_index::remove(worker_slot slot)
{
    set_free(slot, closed_room);
    m_unused.push_back(slot);
}

void worker_index::set_free(worker_slot slot, const resources& free)
{
    const auto before = m_free[slot];
    m_free[slot] = free;
    const auto block = slot / block_size;
    // Only a loss can lower the block's bounds, and only then are its workers looked at.
    if (before.fits_in(free))
        m_most_free[block] = most_of(m_most_free[block], free);
    else
        update_block(block);
}

void worker_index::update_block(std::size_t block)
{
    auto most = closed_room;
    const auto end = std::min(m_free.size(), (block + 1) * block_size);
    for (auto slot = block * block_size; slot < end; ++slot)
        most = most_of(most, m_free[slot]);
    m_most_free[block] = most;
}

} // namespace dragonflygap::placement
