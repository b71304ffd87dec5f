#pragma once

#include <vector>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

/// A heap of requests by deadline; finds the expired ones without a scan.
class deadline_index
{
public:
    void add(tracked_request_ptr request);

    /// Call when an added request has ended. Its entry is erased later in a batch, at amortized
    /// constant cost.
    void mark_ended();

    /// Removes and returns the next expired request, whatever its stage. Null if there is none.
    tracked_request_ptr pop_expired(instant now);

    std::size_t size() const { return m_heap.size(); }

private:
    static bool has_later_deadline(const tracked_request_ptr& left,
                                   const tracked_request_ptr& right);

    std::vector<tracked_request_ptr> m_heap; ///< Min-heap by deadline.
    std::size_t m_ended_count = 0;
};

} // namespace dragonflygap::request
