#include "dragonflygap/net/peer_link.hpp"

#include <map>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap
{

namespace
{

constexpr int send_buffer_messages = 1024;
constexpr nng_duration redial_min_ms = 50;
constexpr nng_duration redial_max_ms = 1000;

void check(int result, const std::string& what)
{
    if (result != 0)
        throw std::runtime_error(what + ": " + nng_strerror(result));
}

class push_socket
{
public:
    explicit push_socket(const endpoint& address) : m_address(address)
    {
        check(nng_push0_open(&m_socket), "open a push socket");
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, send_buffer_messages);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, redial_min_ms);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, redial_max_ms);
        nng_socket_set_bool(m_socket, NNG_OPT_TCP_NODELAY, true);
        nng_socket_set_bool(m_socket, NNG_OPT_TCP_KEEPALIVE, true);
        const std::string url = "tcp://" + to_string(address);
        check(nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial " + url);
    }
    ~push_socket() { nng_close(m_socket); }
    push_socket(const push_socket&) = delete;
    push_socket& operator=(const push_socket&) = delete;

    bool send(std::string_view message)
    {
        // nng copies the message and doesn't write to it.
        return nng_send(m_socket, const_cast<char*>(message.data()), message.size(),
                        NNG_FLAG_NONBLOCK) == 0;
    }

    const endpoint& address() const { return m_address; }

private:
    endpoint m_address;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

} // namespace

struct peer_link::state
{
    peer_link_options m_options;
    nng_socket m_pull = NNG_SOCKET_INITIALIZER;
    nng_listener m_listener = NNG_LISTENER_INITIALIZER;
    event_loop::timer_ptr m_readable;
    std::map<vm_id, std::unique_ptr<push_socket>> m_peers;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;

    void receive_all()
    {
        nng_msg* message = nullptr;
        while (nng_recvmsg(m_pull, &message, NNG_FLAG_NONBLOCK) == 0)
        {
            const std::string_view body(static_cast<const char*>(nng_msg_body(message)),
                                        nng_msg_len(message));
            m_bytes_received += body.size();
            m_options.m_on_message(body);
            nng_msg_free(message);
        }
    }
};

peer_link::peer_link(event_loop& loop, peer_link_options options)
    : m_state(std::make_unique<state>())
{
    m_state->m_options = std::move(options);
    check(nng_pull0_open(&m_state->m_pull), "open a pull socket");
    nng_socket_set_size(m_state->m_pull, NNG_OPT_RECVMAXSZ, m_state->m_options.m_max_message_bytes);
    const std::string url = "tcp://" + to_string(m_state->m_options.m_listen);
    check(nng_listen(m_state->m_pull, url.c_str(), &m_state->m_listener, 0), "listen on " + url);
    int descriptor = -1;
    check(nng_socket_get_int(m_state->m_pull, NNG_OPT_RECVFD, &descriptor), "poll " + url);
    m_state->m_readable =
        loop.on_readable(descriptor, [owner = m_state.get()] { owner->receive_all(); });
}

peer_link::~peer_link()
{
    m_state->m_readable.reset();
    nng_close(m_state->m_pull);
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
