#pragma once

#include <functional>
#include <utility>

#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap
{

/// Delivers typed messages from other tasks to the task that runs the given loop.
template <class Message>
class mailbox
{
public:
    mailbox(event_loop& loop, std::function<void(Message)> on_message)
        : m_loop(loop), m_on_message(std::move(on_message))
    {
    }

    /// Queues a message; safe from any thread. Messages of one sender keep their order.
    void send(Message message)
    {
        m_loop.post([this, message = std::move(message)]() mutable
                    { m_on_message(std::move(message)); });
    }

private:
    event_loop& m_loop;
    std::function<void(Message)> m_on_message;
};

} // namespace dragonflygap
