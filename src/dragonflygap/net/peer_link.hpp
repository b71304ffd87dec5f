#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"

namespace dragonflygap
{

class event_loop;

struct peer_link_options
{
    endpoint m_listen;
    std::size_t m_max_message_bytes = 4 << 20;
    std::function<void(std::string_view message)> m_on_message;
};

/// Messages between entry VMs over nng: one push pipe to each peer, one pull socket for all.
///
/// Messages to one peer keep their order while its pipe is open; a broken pipe loses the messages
/// in it.
class peer_link
{
public:
    /// Throws std::runtime_error if the address can't be bound.
    peer_link(event_loop& loop, peer_link_options options);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Dials a peer, and redials it whenever the pipe breaks, until it is removed.
    void add(const vm_id& peer, const endpoint& address);

    void remove(const vm_id& peer);

    /// Closes the pipe to a peer and opens a new one, in case the old one is dead.
    void redial(const vm_id& peer);

    /// Returns false if the message was definitely not sent: no pipe, or the pipe is full. A
    /// message that was sent may still be lost with its pipe.
    bool send(const vm_id& peer, std::string_view message);

    /// The bound port, also if the options specify port 0.
    std::uint16_t port() const;

    /// Bytes sent and received since the start, without transport overhead.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
