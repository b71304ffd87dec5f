#include "dragonflygap/request/deadline_index.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

constexpr std::size_t ended_entries_kept = 64;

} // namespace

bool deadline_index::later(const tracked_request_ptr& left, const tracked_request_ptr& right)
{
    return left->m_request.m_deadline > right->m_request.m_deadline;
}

void deadline_index::add(tracked_request_ptr request)
{
    m_heap.push_back(std::move(request));
    std::ranges::push_heap(m_heap, later);
}

void deadline_index::note_ended()
{
    if (++m_ended * 2 <= m_heap.size() + ended_entries_kept)
        return;
    // Half of the entries go, so each removal pays for at most two visits.
    std::erase_if(m_heap,
                  [](const tracked_request_ptr& item) { return item->m_stage == stage::ended; });
    std::ranges::make_heap(m_heap, later);
    m_ended = 0;
}

tracked_request_ptr deadline_index::take_passed(instant now)
{
    if (m_heap.empty() || m_heap.front()->m_request.m_deadline > now)
        return nullptr;
    std::ranges::pop_heap(m_heap, later);
    auto taken = std::move(m_heap.back());
    m_heap.pop_back();
    if (taken->m_stage == stage::ended && m_ended > 0)
        --m_ended;
    return taken;
}

} // namespace dragonflygap::request
