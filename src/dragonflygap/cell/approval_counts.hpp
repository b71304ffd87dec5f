#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "dragonflygap/core/time.hpp"

/// Counters of a leader since its takeover: each approval call and each ticket has one end.
namespace dragonflygap::cell
{

struct approval_call_counts
{
    std::uint64_t m_sent = 0;
    // Ends.
    std::uint64_t m_answered = 0; ///< While the step waited for this answer.
    std::uint64_t m_needless = 0; ///< The same, but all tasks of the step had been placed.
    std::uint64_t m_given_up = 0; ///< Answered after the step had given it up.
    std::uint64_t m_gone = 0;     ///< Answered for a step that is done or cancelled.
    std::uint64_t m_unsent = 0;   ///< Dropped by the VM before it was sent to the service.
    std::uint64_t m_failed = 0;   ///< At the service.
    std::uint64_t m_silent = 0;   ///< The VM never answered.
    // No ends.
    std::uint64_t m_timed_out = 0;  ///< Given up by the step; counted again by its end.
    std::uint64_t m_unexpected = 0; ///< Answers of calls whose end was already counted.
};

struct ticket_counts
{
    std::uint64_t m_received = 0;
    // Ends.
    std::uint64_t m_used = 0;           ///< In a start order.
    std::uint64_t m_lapsed = 0;         ///< Unused.
    std::uint64_t m_given_up = 0;       ///< Of a call that the step had given up.
    std::uint64_t m_gone = 0;           ///< Of a step that is done or cancelled.
    std::uint64_t m_unknown_worker = 0; ///< The worker isn't known any more.
    std::uint64_t m_refused = 0;        ///< Dropped since the worker refused an order's ticket.
    std::uint64_t m_replaced = 0;       ///< By a later one for the same worker.
    std::uint64_t m_forgotten = 0;      ///< With its worker.
};

template <class Counts>
struct named_count
{
    std::string_view m_name;
    std::uint64_t Counts::*m_count;
};

inline constexpr named_count<approval_call_counts> call_ends[] = {
    {"answered", &approval_call_counts::m_answered},
    {"needless", &approval_call_counts::m_needless},
    {"given_up", &approval_call_counts::m_given_up},
    {"gone", &approval_call_counts::m_gone},
    {"unsent", &approval_call_counts::m_unsent},
    {"failed", &approval_call_counts::m_failed},
    {"silent", &approval_call_counts::m_silent},
};

inline constexpr named_count<ticket_counts> ticket_ends[] = {
    {"used", &ticket_counts::m_used},
    {"lapsed", &ticket_counts::m_lapsed},
    {"given_up", &ticket_counts::m_given_up},
    {"gone", &ticket_counts::m_gone},
    {"unknown_worker", &ticket_counts::m_unknown_worker},
    {"refused", &ticket_counts::m_refused},
    {"replaced", &ticket_counts::m_replaced},
    {"forgotten", &ticket_counts::m_forgotten},
};

/// True if every call sent has ended or is open.
inline bool adds_up(const approval_call_counts& counts, std::size_t open)
{
    std::uint64_t sum = open;
    for (const auto& end : call_ends)
        sum += counts.*end.m_count;
    return sum == counts.m_sent;
}

/// True if every ticket received has ended or is held unused.
inline bool adds_up(const ticket_counts& counts, std::size_t held)
{
    std::uint64_t sum = held;
    for (const auto& end : ticket_ends)
        sum += counts.*end.m_count;
    return sum == counts.m_received;
}

/// Where the time of the calls went that the service handled.
struct answer_times
{
    std::uint64_t m_count = 0;
    duration m_waited{};  ///< At the VMs, before the calls were sent to the service.
    duration m_service{}; ///< Until the service's answers.
    duration m_rest{}; ///< On the way to the VMs and back, and until the leader read the answers.
};

} // namespace dragonflygap::cell
