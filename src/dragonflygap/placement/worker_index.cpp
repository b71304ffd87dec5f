#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

namespace
{

resources max_of(const resources& left, const resources& right)
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
    m_free.push_back(no_capacity);
    m_block_max_free.resize((m_free.size() + block_size - 1) / block_size, no_capacity);
    return static_cast<worker_slot>(m_free.size() - 1);
}

void worker_index::remove(worker_slot slot)
{
    set_free(slot, no_capacity);
    m_unused.push_back(slot);
}

void worker_index::set_free(worker_slot slot, const resources& free)
{
    const auto before = m_free[slot];
    m_free[slot] = free;
    const auto block = slot / block_size;
    // The block's maximum can only fall if a dimension of the slot fell; only then recompute it.
    if (before.fits_in(free))
        m_block_max_free[block] = max_of(m_block_max_free[block], free);
    else
        update_block(block);
}

void worker_index::update_block(std::size_t block)
{
    auto max_free = no_capacity;
    const auto end = std::min(m_free.size(), (block + 1) * block_size);
    for (auto slot = block * block_size; slot < end; ++slot)
        max_free = max_of(max_free, m_free[slot]);
    m_block_max_free[block] = max_free;
}

} // namespace dragonflygap::placement
