#include <memory>
#include <string>

#include "dragonflygap/cell/events.hpp"
#include "platform/caller_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::wire;

namespace
{

struct recorded_exchange : http_exchange
{
    explicit recorded_exchange(http_response& to) : m_response(to) {}
    void reply(const http_response& response) override { m_response = response; }
    void on_hangup(std::function<void()>) override {}

    http_response& m_response;
};

/// The response to a submission that the leader answers in this way.
http_response response_to(cell::call_status status, std::int64_t retry_after_ms)
{
    cell::cell_config config{.m_queues = {{.m_name = cell::queue_id("queue"),
                                           .m_host = "mill.example",
                                           .m_path_prefix = "/jobs/"}}};
    const auto handler = make_caller_handler(
        {.m_config = [&config] { return &config; },
         .m_call = [&](const cell::caller_call&, const auto& done)
         { done({.m_status = static_cast<int>(status), .m_number = retry_after_ms}); },
         .m_stopping = [] { return false; }});
    http_response response;
    handler({.m_method = "POST",
             .m_path = "/jobs/5c0e7a21d94b36f8",
             .m_headers = {{"Host", "mill.example"}},
             .m_body = R"({"specification":"s","steps":[{"count":1}]})"},
            std::make_shared<recorded_exchange>(response));
    return response;
}

} // namespace

TEST_GROUP(customer_rejection){};

TEST(customer_rejection, a_job_beyond_its_customer_s_limit_is_answered_429_with_whole_seconds)
{
    const auto response = response_to(cell::call_status::over_limit, 4001);
    LONGS_EQUAL(429, response.m_status);
    STRCMP_EQUAL("5", std::string(response.header("Retry-After")).c_str());
}

TEST(customer_rejection, a_job_rejected_for_other_causes_is_answered_503_as_before)
{
    const auto response = response_to(cell::call_status::rejected, 2000);
    LONGS_EQUAL(503, response.m_status);
    STRCMP_EQUAL("2", std::string(response.header("Retry-After")).c_str());
}
