#include "dragonflygap/net/peer_link.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap
{

namespace
{

constexpr int send_buffer_messages = 1024;
constexpr nng_duration redial_min_ms = 50;
constexpr nng_duration redial_max_ms = 1000;
constexpr std::size_t max_queued_messages = 1024;
constexpr std::size_t max_messages_per_iteration = 64; // more would delay timers

void check(int result, const std::string& error_message)
{
    if (result != 0)
        throw std::runtime_error(error_message + ": " + nng_strerror(result));
}

class push_socket
{
public:
    explicit push_socket(const endpoint& address) : m_address(address)
    {
        check(nng_push0_open(&m_socket), "can't open a push socket");
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, send_buffer_messages);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, redial_min_ms);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, redial_max_ms);
        nng_socket_set_bool(m_socket, NNG_OPT_TCP_NODELAY, true);
        nng_socket_set_bool(m_socket, NNG_OPT_TCP_KEEPALIVE, true);
        const std::string url = "tcp://" + to_string(address);
        check(nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK), "can't dial " + url);
    }
    ~push_socket() { nng_close(m_socket); }
    push_socket(const push_socket&) = delete;
    push_socket& operator=(const push_socket&) = delete;

    bool send(std::string_view message)
    {
        // nng copies the message and doesn't modify it.
        return nng_send(m_socket, const_cast<char*>(message.data()), message.size(),
                        NNG_FLAG_NONBLOCK) == 0;
    }

    const endpoint& address() const { return m_address; }

private:
    endpoint m_address;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

struct message_deleter
{
    void operator()(nng_msg* owned) const { nng_msg_free(owned); }
};
using message_ptr = std::unique_ptr<nng_msg, message_deleter>;

/// Receives messages from a pull socket in nng's threads and queues them for an event loop.
///
/// nng buffers one message per pipe and reads the next one only after that was received. A loop
/// that received them itself would get about one message of each pipe per iteration.
class inbox
{
public:
    explicit inbox(nng_socket socket)
        : m_socket(socket), m_event_descriptor(eventfd(0, EFD_NONBLOCK))
    {
        if (m_event_descriptor < 0)
            throw std::runtime_error("can't create an eventfd");
        check(nng_aio_alloc(&m_aio, &inbox::on_received, this),
              "can't allocate a receive operation");
        nng_recv_aio(m_socket, m_aio);
    }
    ~inbox()
    {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
        close(m_event_descriptor);
    }
    inbox(const inbox&) = delete;
    inbox& operator=(const inbox&) = delete;

    /// Readable while messages are queued.
    int descriptor() const { return m_event_descriptor; }

    message_ptr pop()
    {
        message_ptr result;
        bool resume = false;
        {
            const std::scoped_lock lock(m_mutex);
            if (!m_messages.empty())
            {
                result = std::move(m_messages.front());
                m_messages.pop_front();
            }
            if (m_messages.empty())
            {
                eventfd_t count = 0;
                eventfd_read(m_event_descriptor, &count);
            }
            resume = std::exchange(m_full, false);
        }
        if (resume)
            nng_recv_aio(m_socket, m_aio);
        return result;
    }

private:
    static void on_received(void* self) { static_cast<inbox*>(self)->enqueue(); }

    void enqueue()
    {
        if (nng_aio_result(m_aio) != 0)
            return; // the socket is closed
        {
            const std::scoped_lock lock(m_mutex);
            m_messages.emplace_back(nng_aio_get_msg(m_aio));
            if (m_messages.size() == 1)
                eventfd_write(m_event_descriptor, 1);
            m_full = m_messages.size() >= max_queued_messages;
            if (m_full)
                return;
        }
        nng_recv_aio(m_socket, m_aio);
    }

    nng_socket m_socket;
    int m_event_descriptor = -1;
    nng_aio* m_aio = nullptr;
    std::mutex m_mutex;
    std::deque<message_ptr> m_messages;
    bool m_full = false; ///< Receiving is paused until a message is popped.
};

} // namespace

struct peer_link::state
{
    peer_link_options m_options;
    nng_socket m_pull = NNG_SOCKET_INITIALIZER;
    nng_listener m_listener = NNG_LISTENER_INITIALIZER;
    std::unique_ptr<inbox> m_inbox;
    event_loop::timer_ptr m_readable;
    std::map<vm_id, std::unique_ptr<push_socket>> m_peers;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;

    void receive()
    {
        for (std::size_t received_count = 0; received_count < max_messages_per_iteration;
             ++received_count)
        {
            const auto message = m_inbox->pop();
            if (message == nullptr)
                return;
            const std::string_view body(static_cast<const char*>(nng_msg_body(message.get())),
                                        nng_msg_len(message.get()));
            m_bytes_received += body.size();
            m_options.m_on_message(body);
        }
    }
};

peer_link::peer_link(event_loop& loop, peer_link_options options)
    : m_state(std::make_unique<state>())
{
    m_state->m_options = std::move(options);
    check(nng_pull0_open(&m_state->m_pull), "can't open a pull socket");
    nng_socket_set_size(m_state->m_pull, NNG_OPT_RECVMAXSZ, m_state->m_options.m_max_message_bytes);
    const std::string url = "tcp://" + to_string(m_state->m_options.m_listen);
    check(nng_listener_create(&m_state->m_listener, m_state->m_pull, url.c_str()),
          "can't listen on " + url);
    // Nothing is sent over accepted pipes, so only probes notice a peer that lost power.
    nng_listener_set_bool(m_state->m_listener, NNG_OPT_TCP_KEEPALIVE, true);
    check(nng_listener_start(m_state->m_listener, 0), "can't listen on " + url);
    m_state->m_inbox = std::make_unique<inbox>(m_state->m_pull);
    m_state->m_readable = loop.on_readable(m_state->m_inbox->descriptor(),
                                           [owner = m_state.get()] { owner->receive(); });
}

peer_link::~peer_link()
{
    m_state->m_readable.reset();
    nng_close(m_state->m_pull);
    m_state->m_inbox.reset();
}

void peer_link::add(const vm_id& peer, const endpoint& address)
{
    auto& socket = m_state->m_peers[peer];
    if (socket == nullptr || socket->address() != address)
        socket = std::make_unique<push_socket>(address);
}

void peer_link::remove(const vm_id& peer)
{
    m_state->m_peers.erase(peer);
}

void peer_link::redial(const vm_id& peer)
{
    const auto found = m_state->m_peers.find(peer);
    if (found == m_state->m_peers.end())
        return;
    const endpoint address = found->second->address();
    found->second = std::make_unique<push_socket>(address);
}

bool peer_link::send(const vm_id& peer, std::string_view message)
{
    const auto found = m_state->m_peers.find(peer);
    if (found == m_state->m_peers.end() || !found->second->send(message))
        return false;
    m_state->m_bytes_sent += message.size();
    return true;
}

std::uint16_t peer_link::port() const
{
    nng_sockaddr address{};
    nng_listener_get_addr(m_state->m_listener, NNG_OPT_LOCADDR, &address);
    return ntohs(address.s_in.sa_port);
}

std::uint64_t peer_link::bytes_sent() const
{
    return m_state->m_bytes_sent;
}

std::uint64_t peer_link::bytes_received() const
{
    return m_state->m_bytes_received;
}

} // namespace dragonflygap
