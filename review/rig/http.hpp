#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// Blocking HTTP/1.1, one thread a connection: enough for stand-ins.
namespace rig
{

using steady = std::chrono::steady_clock;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct request
{
    std::string m_method;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_headers; ///< Names in lower case.
    std::string m_body;
};

struct response
{
    int m_status = 200;
    std::string m_body = "{}";
    bool m_none = false; ///< Close the connection without an answer.
    std::map<std::string, std::string> m_headers;
};

inline std::string lower(std::string text)
{
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

inline std::string decode(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            result += text[i];
    return result;
}

inline bool send_all(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads the head and the body of one message; false if the connection ended.
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body,
                         std::int64_t until_ms)
{
    const auto more = [&]
    {
        char chunk[65536];
        if (until_ms != 0)
        {
            const auto left = until_ms - now_ms();
            pollfd waiting{socket, POLLIN, 0};
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        const auto n = ::recv(socket, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return false;
    head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t length = 0;
    if (const auto at = lower(head).find("content-length:"); at != std::string::npos)
        length = std::stoull(head.substr(at + 15));
    while (buffer.size() < length)
        if (!more())
            return false;
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline request parse_request(const std::string& head, std::string body)
{
    request result;
    const auto line_end = head.find("\r\n");
    const auto first = head.find(' ');
    const auto second = head.find(' ', first + 1);
    result.m_method = head.substr(0, first);
    auto target = head.substr(first + 1, second - first - 1);
    if (const auto mark = target.find('?'); mark != std::string::npos)
    {
        auto query = target.substr(mark + 1);
        target.resize(mark);
        for (std::size_t at = 0; at < query.size();)
        {
            const auto next = std::min(query.find('&', at), query.size());
            const auto pair = query.substr(at, next - at);
            const auto equals = pair.find('=');
            if (equals != std::string::npos)
                result.m_query[pair.substr(0, equals)] = decode(pair.substr(equals + 1));
            at = next + 1;
        }
    }
    result.m_path = decode(target);
    for (std::size_t at = line_end + 2; at < head.size();)
    {
        const auto next = head.find("\r\n", at);
        const auto line = head.substr(at, next - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.m_headers[lower(line.substr(0, colon))] = value;
        }
        at = next + 2;
    }
    result.m_body = std::move(body);
    return result;
}

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A port of 127.0.0.1 that is free now. Ports from 32768 on serve outgoing connections, so one of
/// those could be taken before it is used.
inline int free_port()
{
    static std::mt19937 random(static_cast<unsigned>(now_ms()) ^
                               static_cast<unsigned>(::getpid()) * 7919U);
    // Cells that run beside each other seldom share a block of ports.
    static const int first = 15000 + 1000 * static_cast<int>(::getpid() % 17);
    static std::set<int> given;
    for (int attempt = 0; attempt < 1000; ++attempt)
    {
        const int port = first + std::uniform_int_distribution<int>(0, 999)(random);
        if (given.count(port) != 0)
            continue;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = address_of("127.0.0.1", port);
        const bool free =
            ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (free)
        {
            given.insert(port);
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

/// Serves one port. stop() resets all connections, as the end of a process does.
class server
{
public:
    using handler = std::function<response(const request&)>;

    server(int port, handler on_request) : m_port(port), m_handler(std::move(on_request))
    {
        start();
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    int port() const { return m_port; }

    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = address_of("127.0.0.1", m_port);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_listener, 512) != 0)
            throw std::runtime_error("can't listen on port " + std::to_string(m_port));
        m_open = std::make_shared<connections>();
        m_accepting = std::thread([this, open = m_open, listener = m_listener]
                                  { accept_all(listener, open); });
    }

    void stop()
    {
        if (m_listener < 0)
            return;
        {
            const std::scoped_lock lock(m_open->m_mutex);
            m_open->m_closed = true;
            for (const int socket : m_open->m_sockets)
                ::shutdown(socket, SHUT_RDWR);
        }
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
        m_accepting.join();
    }

private:
    struct connections
    {
        std::mutex m_mutex;
        std::set<int> m_sockets;
        bool m_closed = false;
    };

    void accept_all(int listener, const std::shared_ptr<connections>& open)
    {
        while (true)
        {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            {
                const std::scoped_lock lock(open->m_mutex);
                if (open->m_closed)
                {
                    ::close(socket);
                    return;
                }
                open->m_sockets.insert(socket);
            }
            std::thread([handle = m_handler, open, socket] { serve(handle, open, socket); })
                .detach();
        }
    }

    static void serve(const handler& handle, const std::shared_ptr<connections>& open, int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        std::string head;
        std::string body;
        while (read_message(socket, buffer, head, body, 0))
        {
            const auto answer = handle(parse_request(head, body));
            if (answer.m_none)
                break;
            std::string text = "HTTP/1.1 " + std::to_string(answer.m_status) +
                               " x\r\nContent-Type: application/json\r\n";
            for (const auto& [name, value] : answer.m_headers)
                text += name + ": " + value + "\r\n";
            text += "Content-Length: " + std::to_string(answer.m_body.size()) + "\r\n\r\n" +
                    answer.m_body;
            if (!send_all(socket, text))
                break;
        }
        const std::scoped_lock lock(open->m_mutex);
        open->m_sockets.erase(socket);
        ::close(socket);
    }

    int m_port;
    handler m_handler;
    int m_listener = -1;
    std::shared_ptr<connections> m_open;
    std::thread m_accepting;
};

/// One call on a connection of its own; the status is 0 without an answer.
inline response call(int port, const std::string& method, const std::string& path,
                     const std::string& host, const std::string& body, std::int64_t timeout_ms)
{
    response result{.m_status = 0, .m_body = ""};
    const auto until = now_ms() + timeout_ms;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = address_of("127.0.0.1", port);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    {
        std::string text =
            method + " " + path + " HTTP/1.1\r\nHost: " + host +
            "\r\nX-Deadline-Milliseconds: " + std::to_string(timeout_ms) +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        std::string buffer;
        std::string head;
        std::string answer;
        if (send_all(socket, text) && read_message(socket, buffer, head, answer, until))
        {
            result.m_status = std::stoi(head.substr(head.find(' ') + 1));
            result.m_body = answer;
        }
    }
    ::close(socket);
    return result;
}

} // namespace rig
