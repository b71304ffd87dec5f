#pragma once

#include <vector>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

/// Finds the requests whose deadline has passed without looking at the others.
class deadline_index
{
public:
    void add(tracked_request_ptr request);

    /// A request that was added has ended; its entry is dropped with others, at a constant cost.
    void note_ended();

    /// Takes the next request whose deadline has passed, of any stage. Null if there is none.
    tracked_request_ptr take_passed(instant now);

    std::size_t size() const { return m_heap.size(); }

private:
    static bool later(const tracked_request_ptr& left, const tracked_request_ptr& right);

    std::vector<tracked_request_ptr> m_heap; ///< The earliest deadline first.
    std::size_t m_ended = 0;
};

} // namespace dragonflygap::request
