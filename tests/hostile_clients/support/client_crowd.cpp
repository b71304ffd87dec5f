#include "hostile_clients/support/client_crowd.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hostile
{

namespace
{

constexpr auto quiet_time = 1s;       // without progress until a crowd gives up
constexpr auto max_send_time = 10s;   // of a crowd
constexpr auto max_answer_time = 20s; // ends a test whose server hangs
constexpr auto attempt_time = 5s;
constexpr auto retry_time = 100ms;
constexpr int poll_ms = 20;

int connect_to(const endpoint& to, int flags, int receive_bytes)
{
    const int result = socket(AF_INET, SOCK_STREAM | flags, 0);
    if (receive_bytes > 0)
        setsockopt(result, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.m_port);
    inet_pton(AF_INET, to.m_ip.c_str(), &address.sin_addr);
    connect(result, reinterpret_cast<sockaddr*>(&address), sizeof address);
    return result;
}

/// The next bytes of a connection's traffic after those already sent; empty: all is sent.
std::string_view next_bytes(const traffic& sent, std::string_view repeated, std::size_t offset)
{
    if (offset < sent.m_first.size())
        return std::string_view(sent.m_first).substr(offset);
    const auto of_repeated = offset - sent.m_first.size();
    if (of_repeated >= sent.m_repeated_bytes)
        return {};
    return repeated.substr(of_repeated % sent.m_repeated.size())
        .substr(0, sent.m_repeated_bytes - of_repeated);
}

/// Status of the response that arrives on a connection; 0 if none arrives in time.
int read_status(int socket, instant until)
{
    std::string head;
    std::array<char, 4096> buffer{};
    while (monotonic_clock::now() < until && head.find("\r\n") == std::string::npos)
    {
        pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
        if (poll(&waiting, 1, poll_ms) != 1)
            continue;
        const auto count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count <= 0)
            break;
        head.append(buffer.data(), static_cast<std::size_t>(count));
    }
    constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
    constexpr std::size_t status_digits = 3;
    if (!head.starts_with("HTTP/1.") || head.size() < status_at + status_digits)
        return 0;
    return std::atoi(head.substr(status_at, status_digits).c_str());
}

} // namespace

client_crowd::client_crowd(const endpoint& to, int connections)
{
    // Small, so that few unread responses fill it.
    constexpr int receive_bytes = 4096;
    for (int i = 0; i < connections; ++i)
        m_connections.push_back({.m_socket = connect_to(to, SOCK_NONBLOCK, receive_bytes)});
}

client_crowd::~client_crowd()
{
    for (const auto& item : m_connections)
        close(item.m_socket);
}

void client_crowd::send(const traffic& sent)
{
    // Long, as a text of few bytes would take one call for each copy.
    constexpr std::size_t call_bytes = 65536;
    std::string repeated = sent.m_repeated;
    while (!repeated.empty() && repeated.size() < call_bytes)
        repeated += sent.m_repeated;
    for (auto& item : m_connections)
        item.m_sent = 0;
    const auto started = monotonic_clock::now();
    auto progress = started;
    std::vector<pollfd> waiting;
    for (;;)
    {
        bool open = false;
        for (auto& item : m_connections)
        {
            const auto bytes = next_bytes(sent, repeated, item.m_sent);
            if (item.m_failed || bytes.empty())
                continue;
            open = true;
            const auto count =
                ::send(item.m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
            {
                item.m_sent += static_cast<std::size_t>(count);
                progress = monotonic_clock::now();
            }
            else
                item.m_failed = errno != EAGAIN && errno != ENOTCONN;
        }
        const auto now = monotonic_clock::now();
        if (!open || now - progress > quiet_time || now - started > max_send_time)
            return;
        waiting.clear();
        for (const auto& item : m_connections)
            if (!item.m_failed && !next_bytes(sent, repeated, item.m_sent).empty())
                waiting.push_back({.fd = item.m_socket, .events = POLLOUT, .revents = 0});
        poll(waiting.data(), waiting.size(), poll_ms);
    }
}

bool answered(const endpoint& to, std::string_view request, int status)
{
    const auto until = monotonic_clock::now() + max_answer_time;
    while (monotonic_clock::now() < until)
    {
        const int socket = connect_to(to, SOCK_NONBLOCK, 0);
        pollfd connecting{.fd = socket, .events = POLLOUT, .revents = 0};
        constexpr int connect_ms = 3000;
        int received = 0;
        if (poll(&connecting, 1, connect_ms) == 1 &&
            ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size()))
            received = read_status(socket,
                                   std::min<instant>(until, monotonic_clock::now() + attempt_time));
        close(socket);
        if (received == status)
            return true;
        std::this_thread::sleep_for(retry_time);
    }
    return false;
}

} // namespace hostile
