#include "dragonflygap/request/deadline_index.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

constexpr std::size_t max_extra_ended_entries = 64;

} // namespace

bool deadline_index::has_later_deadline(const tracked_request_ptr& left,
                                        const tracked_request_ptr& right)
{
    return left->m_request.m_deadline > right->m_request.m_deadline;
}

void deadline_index::add(tracked_request_ptr request)
{
    m_heap.push_back(std::move(request));
    std::ranges::push_heap(m_heap, has_later_deadline);
}

void deadline_index::mark_ended()
{
    if (++m_ended_count * 2 <= m_heap.size() + max_extra_ended_entries)
        return;
    // More than half of the entries are erased, so the amortized cost is at most two visits each.
    std::erase_if(m_heap,
                  [](const tracked_request_ptr& item) { return item->m_stage == stage::ended; });
    std::ranges::make_heap(m_heap, has_later_deadline);
    m_ended_count = 0;
}

tracked_request_ptr deadline_index::pop_expired(instant now)
{
    if (m_heap.empty() || m_heap.front()->m_request.m_deadline > now)
        return nullptr;
    std::ranges::pop_heap(m_heap, has_later_deadline);
    auto popped = std::move(m_heap.back());
    m_heap.pop_back();
    if (popped->m_stage == stage::ended && m_ended_count > 0)
        --m_ended_count;
    return popped;
}

} // namespace dragonflygap::request
