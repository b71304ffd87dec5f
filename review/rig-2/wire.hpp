// Small blocking HTTP/1.1 for the stand-ins: a thread for each connection, loopback only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline void nap(double milliseconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

struct request
{
    std::string m_method;
    std::string m_path;
    std::string m_query;
    std::map<std::string, std::string> m_headers; ///< Names in lower case.
    std::string m_body;
};

struct response
{
    int m_status = 0; ///< 0: no answer.
    std::string m_body;
    std::string m_fault;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listen_on(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = loopback(port);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(socket, 256) != 0)
    {
        close(socket);
        return -1;
    }
    return socket;
}

/// A port that nobody uses, below those that outgoing connections take. Each process has a range of
/// its own: it listens on the first port of it until it ends.
inline int free_port()
{
    constexpr int lowest = 10000;
    constexpr int ports_per_rig = 32;
    constexpr int rigs = 600;
    static int next = 0;
    static int left = 0;
    if (left == 0)
        for (int range = static_cast<int>(getpid()) % rigs; left == 0; range = (range + 1) % rigs)
        {
            next = lowest + range * ports_per_rig;
            left = listen_on(next) < 0 ? 0 : ports_per_rig - 1;
        }
    for (;;)
    {
        if (left-- == 0)
            throw std::runtime_error("no port left");
        const int socket = listen_on(++next);
        if (socket < 0)
            continue;
        close(socket);
        return next;
    }
}

/// Reads one message's head and body; false if the connection ended before.
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body,
                         clock::time_point until)
{
    const auto more = [&]
    {
        const auto left = std::chrono::duration_cast<ms>(until - clock::now()).count();
        pollfd waited{socket, POLLIN, 0};
        if (left <= 0 || poll(&waited, 1, static_cast<int>(std::min<long>(left, 600000))) <= 0)
            return false;
        char bytes[16384];
        const auto count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return false;
    head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    std::size_t length = 0;
    if (const auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
        length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
    while (buffer.size() < length)
        if (!more())
            return false;
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline bool send_all(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline request parse_request(const std::string& head, std::string body)
{
    request result;
    result.m_body = std::move(body);
    const auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    result.m_method = line.substr(0, first);
    auto target = line.substr(first + 1, last - first - 1);
    if (const auto query = target.find('?'); query != std::string::npos)
    {
        result.m_query = target.substr(query + 1);
        target.resize(query);
    }
    result.m_path = target;
    for (std::size_t at = head.find("\r\n") + 2; at < head.size();)
    {
        const auto end = head.find("\r\n", at);
        const auto header = head.substr(at, end - at);
        if (const auto colon = header.find(':'); colon != std::string::npos)
        {
            auto name = header.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            auto value = header.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.m_headers[name] = value;
        }
        at = end + 2;
    }
    return result;
}

/// Serves one address. down() ends all connections as the end of a process does.
class server
{
public:
    /// False: the connection gets no answer and stays open.
    using handler = std::function<bool(const request&, response&)>;

    server(int port, handler work) : m_port(port), m_handler(std::move(work)) { up(); }
    ~server()
    {
        down();
        while (m_threads > 0)
            nap(1);
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    int port() const { return m_port; }

    void up()
    {
        const int socket = listen_on(m_port);
        if (socket < 0)
            throw std::runtime_error("port taken");
        m_listener = socket;
        ++m_threads;
        std::thread(
            [this, socket]
            {
                accept_all(socket);
                --m_threads;
            })
            .detach();
    }

    void down()
    {
        const int listener = m_listener.exchange(-1);
        if (listener >= 0)
        {
            shutdown(listener, SHUT_RDWR);
            close(listener);
        }
        const std::scoped_lock lock(m_mutex);
        for (const int socket : m_open)
        {
            const linger reset{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(socket, SHUT_RDWR);
        }
    }

private:
    void accept_all(int listener)
    {
        for (;;)
        {
            const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int yes = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            {
                const std::scoped_lock lock(m_mutex);
                m_open.insert(socket);
            }
            ++m_threads;
            std::thread(
                [this, socket]
                {
                    serve(socket);
                    {
                        const std::scoped_lock lock(m_mutex);
                        m_open.erase(socket);
                    }
                    close(socket);
                    --m_threads;
                })
                .detach();
        }
    }

    void serve(int socket)
    {
        std::string buffer;
        std::string head;
        std::string body;
        while (read_message(socket, buffer, head, body, clock::now() + std::chrono::hours(1)))
        {
            response answer;
            if (!m_handler(parse_request(head, std::move(body)), answer))
                continue;
            if (!send_all(socket, "HTTP/1.1 " + std::to_string(answer.m_status) +
                                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(answer.m_body.size()) + "\r\n\r\n" +
                                      answer.m_body))
                return;
        }
    }

    int m_port;
    handler m_handler;
    std::atomic<int> m_listener{-1};
    std::atomic<int> m_threads{0};
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// One call of a client on a connection of its own. The client leaves after the given time.
inline response call(int port, const std::string& method, const std::string& path,
                     const std::string& host, const std::string& body, int leave_after_ms)
{
    response result;
    const auto until = clock::now() + ms(leave_after_ms);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        close(socket);
        result.m_fault = "no connection";
        return result;
    }
    nap(1); // one way between a client and the system
    std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nX-Deadline-Milliseconds: " + std::to_string(leave_after_ms) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (!send_all(socket, text) || !read_message(socket, buffer, head, result.m_body, until))
        result.m_fault = clock::now() >= until ? "the client left" : "connection ended";
    else
        result.m_status = std::atoi(head.c_str() + head.find(' ') + 1);
    close(socket);
    nap(1);
    return result;
}

} // namespace rig
