#include "support/raw_target.hpp"

#include <utility>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflygap::test
{

int bind_to_loopback(endpoint& address)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    bind(listener, reinterpret_cast<sockaddr*>(&bound), size);
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    address = {"127.0.0.1", ntohs(bound.sin_port)};
    return listener;
}

raw_target::raw_target(std::function<void(int)> on_connection)
    : m_on_connection(std::move(on_connection)), m_listener(bind_to_loopback(m_address))
{
    constexpr int backlog = 16;
    listen(m_listener, backlog);
    m_thread = std::thread([this] { serve(); });
}

raw_target::~raw_target()
{
    shutdown(m_listener, SHUT_RDWR);
    shutdown(m_connection, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

void raw_target::serve()
{
    for (int socket = accept(m_listener, nullptr, nullptr); socket >= 0;
         socket = accept(m_listener, nullptr, nullptr))
    {
        m_connection = socket;
        m_on_connection(socket);
        m_connection = -1;
        close(socket);
    }
}

std::string read_http_request(int socket)
{
    std::string bytes;
    char buffer[4096];
    for (;;)
    {
        const auto end = bytes.find("\r\n\r\n");
        const auto length = bytes.find("Content-Length: ");
        const auto body = length < end ? std::stoul(bytes.substr(length + 16)) : 0;
        if (end != std::string::npos && bytes.size() >= end + 4 + body)
            return bytes;
        const auto count = recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return bytes;
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

void write_all(int socket, const std::string& bytes)
{
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void wait_for_close(int socket)
{
    char byte = 0;
    while (recv(socket, &byte, 1, 0) > 0)
    {
    }
}

endpoint closed_address()
{
    endpoint address;
    close(bind_to_loopback(address));
    return address;
}

} // namespace dragonflygap::test
