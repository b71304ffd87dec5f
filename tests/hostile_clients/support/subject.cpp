#include "hostile_clients/support/subject.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

namespace hostile
{

namespace
{

constexpr std::size_t kb = 1024;
/// Of a request, known to callers (docs/design/hard-load.md).
constexpr std::size_t max_header_bytes = 16384;
/// What a daemon may use more than before the crowd for other reasons than the requests that its
/// limits let it hold: code that runs for the first time, the allocator's reserves, and one
/// response in the making.
constexpr std::size_t base_kb = 16 * kb;
/// Descriptors that a daemon may open for its own work meanwhile.
constexpr std::size_t base_descriptors = 32;
/// Lets the daemon read what the crowd has sent; nothing depends on the exact time.
constexpr auto settle_time = 500ms;

// Sanitizers use several times the memory of the program itself.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool memory_is_checked = false;
#else
constexpr bool memory_is_checked = true;
#endif

std::string quoted(const endpoint& address)
{
    return "\"" + to_string(address) + "\"";
}

/// Collects what a daemon didn't keep to, so that a failed test shows all of it.
class findings
{
public:
    void expect(bool condition, const std::string& otherwise)
    {
        if (!condition)
            m_text += "\n" + otherwise;
    }

    void expect_at_most(std::size_t limit, std::size_t actual, const std::string& what)
    {
        expect(actual <= limit,
               what + ": " + std::to_string(actual) + ", allowed: " + std::to_string(limit));
    }

    void check() const { CHECK_TEXT(m_text.empty(), m_text.c_str()); }

private:
    std::string m_text;
};

} // namespace

subject::subject(const subject_options& options) : m_options(options)
{
    constexpr std::size_t ports = 4;
    const auto addresses = unused_addresses(ports);
    m_callers = addresses[0];
    m_operators = addresses[1];
    m_peers = addresses[2];
    m_readiness = addresses[3];
}

void subject::start(const std::string& settings)
{
    m_daemon = std::make_unique<daemon_process>(daemon_options{
        .m_settings = R"({"vm": "entry-1", "data_centre": "norte-a", "log_level": "warning",)"
                      R"("caller_listen": )" +
                      quoted(m_callers) + R"(, "operator_listen": )" + quoted(m_operators) +
                      R"(, "peer_listen": )" + quoted(m_peers) + R"(, "max_body_bytes": )" +
                      std::to_string(m_options.m_max_body_bytes) + settings + "}",
        .m_max_descriptors = m_options.m_max_descriptors});
}

std::unique_ptr<subject> subject::make_plain(const subject_options& options)
{
    std::unique_ptr<subject> result(new subject(options));
    result->start("");
    const std::string config = R"({"classes": [{"name": "tablet", "expected_ms": 10,)"
                               R"("deadline_ms": 4000}]})";
    CHECK_TEXT(answered(result->m_operators,
                        "PUT /v1/config?expected=0 HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                            std::to_string(config.size()) + "\r\n\r\n" + config,
                        200),
               "the daemon accepts no configuration");
    result->m_ordinary_head = "POST /v1/requests/tablet HTTP/1.1\r\nHost: x\r\n";
    result->m_ordinary_body = R"({"run_ms": 1})";
    CHECK_TEXT(result->serves_ordinary_request(), "the daemon serves no request at all");
    return result;
}

std::unique_ptr<subject> subject::make_cell(const subject_options& options)
{
    std::unique_ptr<subject> result(new subject(options));
    result->m_store = std::make_unique<store_service>(
        R"({"version": 1, "routes": [{"name": "q", "host": "mill.example", "path_prefix": "/q/",)"
        R"("service": "looms", "priority": 1, "max_attempts": 2, "stretch": 2.0,)"
        R"("target_latency_ms": 600000}], "services": []})");
    result->m_memory_limit_kb = options.m_memory_mb * kb;
    result->start(R"(, "cell": {"store": )" + quoted(result->m_store->address()) +
                  R"(, "ready_listen": )" + quoted(result->m_readiness) + R"(, "memory_mb": )" +
                  std::to_string(options.m_memory_mb) + "}");
    result->m_ordinary_head = "POST /q/0123456789abcdef HTTP/1.1\r\nHost: mill.example\r\n";
    result->m_ordinary_body = R"({"specification": "s", "steps": [{"cpu": 1000}]})";
    CHECK_TEXT(result->serves_ordinary_request(), "the daemon serves no request at all");
    return result;
}

bool subject::serves_ordinary_request() const
{
    return answered(m_callers,
                    m_ordinary_head + "Content-Length: " + std::to_string(m_ordinary_body.size()) +
                        "\r\n\r\n" + m_ordinary_body,
                    200);
}

void subject::check(const crowd_case& crowd)
{
    const auto resident_before = m_daemon->resident_kb();
    const auto descriptors_before = m_daemon->open_descriptors();
    client_crowd clients(crowd.m_to, crowd.m_connections);
    clients.send(crowd.m_traffic);
    std::this_thread::sleep_for(settle_time);
    const auto descriptors = m_daemon->open_descriptors();

    findings found;
    found.expect(m_daemon->running(), "the daemon has ended");
    found.expect(serves_ordinary_request(), "no ordinary request is served beside the crowd");
    const auto peak_kb = m_daemon->peak_resident_kb();
    const auto connections = static_cast<std::size_t>(crowd.m_connections);
    const auto allowed_kb = connections * (max_header_bytes + m_options.m_max_body_bytes) / kb;
    if (memory_is_checked)
        found.expect_at_most(resident_before + allowed_kb + base_kb, peak_kb,
                             "peak resident KB, with " + std::to_string(resident_before) +
                                 " before");
    if (memory_is_checked && m_memory_limit_kb > 0)
        found.expect_at_most(m_memory_limit_kb, peak_kb, "peak resident KB, by memory_mb");
    found.expect_at_most(crowd.m_max_descriptors > 0
                             ? crowd.m_max_descriptors
                             : descriptors_before + connections + base_descriptors,
                         descriptors, "open descriptors");
    found.expect(m_daemon->running(), "the daemon has ended");
    fprintf(stderr, "FIG before %zu peak %zu allowed %zu descriptors %zu\n", resident_before, peak_kb, resident_before + allowed_kb + base_kb, descriptors);
    found.check();
}

} // namespace hostile
