#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/cluster/codec.hpp"
#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/config/document.hpp"
#include "dragonflygap/config/revision.hpp"
#include "dragonflygap/config/settings.hpp"
#include "dragonflygap/history_checker/entry.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/request/caller_api.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

const std::string settings_text = R"({"vm": "entry-1", "data_centre": "norte-a",
    "caller_listen": "127.0.0.1:1", "peers": [{"vm": "entry-2", "data_centre": "norte-b",
    "address": "127.0.0.1:2"}], "platform": {"address": "127.0.0.1:3"}, "drain_seconds": 30})";

const std::string document_text = R"({"classes": [{"name": "tablet", "urgency": 0,
    "expected_ms": 10, "deadline_ms": 2000, "slot_share": 0.5}], "teams": [{"name": "looms",
    "millicores": 64000}], "callers": [{"name": "sales", "weight": 2}]})";

const std::string job_text = R"({"name": "dye-report", "team": "looms", "kind": "batch",
    "count": 6, "size": {"millicores": 2000, "memory_mb": 1024}, "expected_ms": 3000,
    "rules": {"spread": "rack"}})";

/// Corrupts a text: changes, deletes or duplicates bytes, or inserts values of a wrong type or far
/// out of range.
std::string corrupted(std::string text)
{
    static const std::string odd_values[] = {"null", "-1",   "1e400", "99999999999999999999",
                                             "\"\"", "[]",   "{",     "}",
                                             "0.5",  "\xff", "\\u00", "true"};
    for (int edits = *rc::gen::inRange(1, 6); edits > 0 && !text.empty(); --edits)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 12));
            break;
        case 2:
            text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 40)));
            break;
        default:
            text.replace(at, *rc::gen::inRange<std::size_t>(0, 6),
                         odd_values[*rc::gen::inRange<std::size_t>(0, std::size(odd_values))]);
        }
    }
    return text;
}

constexpr int inputs_per_case = 20;

/// Checks that every rejected input is reported with at least one error.
template <class Parse>
void check_errors_reported(const std::string& valid, const Parse& parse)
{
    RC_ASSERT(parse(valid).has_value());
    for (int i = 0; i < inputs_per_case; ++i)
    {
        const auto read = parse(corrupted(valid));
        RC_ASSERT(read.has_value() || !read.error().empty());
    }
}

cluster::message sample_message(int kind)
{
    cluster::message result{.m_from = vm_id("entry-1"), .m_incarnation = 7};
    if (kind == 0)
        result.m_body = cluster::heartbeat{.m_sequence = 3,
                                           .m_data_centre = data_centre_id("norte-a"),
                                           .m_load = {.m_classes = {{class_id("tablet"), 1, 2}}}};
    else if (kind == 1)
        result.m_body = cluster::forwarded_request{.m_call = 5,
                                                   .m_request = request_id("r"),
                                                   .m_class = class_id("tablet"),
                                                   .m_body = "body"};
    else if (kind == 2)
        result.m_body = cluster::forwarded_answer{.m_call = 5, .m_status = 200, .m_body = "body"};
    else
        result.m_body = cluster::config_update{4, "text"};
    return result;
}

void check(const char* label, const std::function<void()>& property)
{
    CHECK_TEXT(rc::check(label, property), label);
}

/// Sends bytes to a server and reads its response until the connection is closed.
std::string exchange_bytes(std::uint16_t port, const std::string& bytes)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof to);
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    std::string answer;
    char buffer[4096];
    for (ssize_t count = 0; (count = recv(connection, buffer, sizeof buffer, 0)) > 0;)
        answer.append(buffer, static_cast<std::size_t>(count));
    close(connection);
    return answer;
}

} // namespace

TEST_GROUP(bad_input){};

TEST(bad_input, corrupted_settings_are_parsed_or_rejected_with_errors)
{
    check("settings", [] { check_errors_reported(settings_text, config::parse_settings); });
}

TEST(bad_input, corrupted_documents_are_parsed_or_rejected_with_errors)
{
    check("document", [] { check_errors_reported(document_text, config::parse_document); });
}

TEST(bad_input, corrupted_jobs_are_parsed_or_rejected_with_errors)
{
    check("job", [] { check_errors_reported(job_text, placement::parse_job); });
}

TEST(bad_input, a_number_out_of_range_is_an_error)
{
    const auto read = placement::parse_job(R"({"name": "j", "team": "t", "kind": "batch",
        "size": {"millicores": 1e400, "memory_mb": 1}})");
    CHECK(!read.has_value());
    CHECK(!placement::parse_job(R"({"name": "j", "team": "t", "kind": "batch", "count": 1e300,
        "size": {"millicores": 1, "memory_mb": 1}})"));
}

TEST(bad_input, corrupted_peer_messages_are_decoded_or_dropped)
{
    check("peer message",
          []
          {
              const auto bytes = cluster::encode(sample_message(*rc::gen::inRange(0, 4)));
              RC_ASSERT(cluster::decode(bytes).has_value());
              for (int i = 0; i < inputs_per_case; ++i)
                  if (const auto read = cluster::decode(corrupted(bytes)))
                      RC_ASSERT(cluster::decode(cluster::encode(*read)).has_value());
          });
}

TEST(bad_input, corrupted_revisions_and_history_lines_are_parsed_or_skipped)
{
    check("lines",
          []
          {
              const auto value = config::encode_revision({4, "entry-1.7.1", document_text});
              RC_ASSERT(config::decode_revision(value).has_value());
              config::decode_revision(corrupted(value));
              history_checker::parse_entry(corrupted("vm=a event=node_started at_us=5 x=\"y z\""));
          });
}

TEST(bad_input, corrupted_caller_headers_are_parsed_or_rejected_as_not_run)
{
    check("caller request",
          []
          {
              http_request request{.m_method = *rc::gen::element<std::string>("POST", "GET", ""),
                                   .m_path = corrupted("/v1/requests/tablet"),
                                   .m_headers = {{"X-Dragonflygap-Deadline-Ms", corrupted("2000")},
                                                 {"X-Dragonflygap-Idempotent", corrupted("false")},
                                                 {"X-Dragonflygap-Caller", corrupted("floor")},
                                                 {"Idempotency-Key", corrupted("order-1")}}};
              const auto read = request::parse_caller_request(request);
              if (!read)
                  RC_ASSERT(read.error().m_verdict == verdict::not_run);
              else
                  RC_ASSERT(!read->m_class.empty() && !read->m_caller.empty());
          });
}

TEST(bad_input, a_server_survives_corrupted_http)
{
    event_loop loop;
    constexpr std::size_t max_body = 2000;
    http_server server(
        loop, {.m_listen = {"127.0.0.1", 0},
               .m_max_body_bytes = max_body,
               .m_handler = [](const http_request& request, const http_exchange_ptr& exchange)
               { exchange->reply(json_response(200, request.m_path)); }});
    const std::string valid = "POST /v1/requests/tablet HTTP/1.1\r\nHost: x\r\n"
                              "Content-Length: 4\r\nConnection: close\r\n\r\nbody";
    std::thread thread([&loop] { loop.run(); });
    check("http",
          [&]
          {
              exchange_bytes(server.port(), corrupted(valid));
              RC_ASSERT(exchange_bytes(server.port(), valid).find("200") != std::string::npos);
          });
    loop.stop();
    thread.join();
}
