#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "hostile_clients/support/client_crowd.hpp"
#include "hostile_clients/support/daemon_process.hpp"
#include "hostile_clients/support/store_service.hpp"

namespace hostile
{

/// Settings that the tests lower, so that a small crowd exceeds what the limits allow.
struct subject_options
{
    std::size_t m_max_body_bytes = 65536;
    std::size_t m_memory_mb = 120;     ///< Of a daemon with `cell`; entry VMs have 120 to 512.
    std::size_t m_max_descriptors = 0; ///< 0: that of the test.
};

/// A crowd, and what a daemon may use while it is connected.
struct crowd_case
{
    endpoint m_to;
    int m_connections = 0;
    traffic m_traffic;
    std::size_t m_max_descriptors = 0; ///< 0: those before the crowd and one for each connection.
};

/// A daemon, an ordinary request to it, and what it must keep to beside a crowd of clients that
/// exceed the limits.
class subject
{
public:
    /// A daemon with the embedded platform, which serves one class of requests.
    static std::unique_ptr<subject> make_plain(const subject_options& options);
    /// A daemon with `cell` settings, which accepts the jobs of one queue.
    static std::unique_ptr<subject> make_cell(const subject_options& options);

    /// Fails the test if the daemon ends, exceeds a bound, or doesn't answer the ordinary request
    /// while the crowd is connected.
    void check(const crowd_case& crowd);

    const endpoint& callers() const { return m_callers; }
    const endpoint& operators() const { return m_operators; }
    const endpoint& readiness() const { return m_readiness; }

    /// Request line and headers of an ordinary request, without the last, empty line.
    std::string ordinary_head() const { return m_ordinary_head; }

private:
    explicit subject(const subject_options& options);
    void start(const std::string& settings);
    bool serves_ordinary_request() const;

    subject_options m_options;
    endpoint m_callers;
    endpoint m_operators;
    endpoint m_peers;
    endpoint m_readiness;
    std::string m_ordinary_head;
    std::string m_ordinary_body;
    std::unique_ptr<store_service> m_store;
    std::unique_ptr<daemon_process> m_daemon;
    std::size_t m_memory_limit_kb = 0; ///< Of the process; 0: none is set.
};

} // namespace hostile
