#include "platform/caller_server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/cell/events.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

class recording_exchange : public http_exchange
{
public:
    void reply(const http_response& response) override { m_response = response; }
    void on_hangup(std::function<void()>) override {}

    http_response m_response;
};

cell::cell_config config_with_customers()
{
    return {.m_version = 1,
            .m_queues = {{.m_name = cell::queue_id("closed"),
                          .m_host = "mill.example",
                          .m_path_prefix = "/closed/"},
                         {.m_name = cell::queue_id("open"),
                          .m_host = "mill.example",
                          .m_path_prefix = "/open/",
                          .m_anonymous_allowed = true}},
            .m_keys_required = true,
            .m_customers = {{.m_name = cell::customer_id("weaver"), .m_keys = {"k1", "k2"}},
                            {.m_name = cell::customer_id("dyer"), .m_keys = {"k3"}}}};
}

const std::string some_job = "00000000000000a1";
const std::string some_body = R"({"specification":"s","steps":[{}]})";

} // namespace

TEST_GROUP(caller_server)
{
    std::optional<cell::cell_config> m_config = config_with_customers();
    bool m_confirmed = true;
    std::vector<cell::caller_call> m_calls;

    http_response send(const std::string& method, const std::string& path,
                       const std::string& authorization, const std::string& body = "")
    {
        const auto handler = wire::make_caller_handler(
            {.m_config = [this] { return m_config ? &*m_config : nullptr; },
             .m_check_key =
                 [this](const cell::queue_rules& queue, std::optional<std::string_view> key) {
                     return cell::check_key(*m_config, cell::customer_keys(*m_config), queue, key,
                                            m_confirmed);
                 },
             .m_call =
                 [this](cell::caller_call call,
                        const std::function<void(const cell::caller_answer&)>& done)
             {
                 m_calls.push_back(std::move(call));
                 done({});
             },
             .m_stopping = [] { return false; }});
        http_request request{.m_method = method,
                             .m_path = path,
                             .m_headers = {{"Host", "mill.example:80"}},
                             .m_body = body};
        if (!authorization.empty())
            request.m_headers.push_back({"authorization", authorization});
        const auto exchange = std::make_shared<recording_exchange>();
        handler(request, exchange);
        return exchange->m_response;
    }

    /// The customer that a submission to a queue with this header is counted for.
    std::string customer_of(const std::string& queue, const std::string& authorization)
    {
        m_calls.clear();
        LONGS_EQUAL(200,
                    send("POST", "/" + queue + "/" + some_job, authorization, some_body).m_status);
        LONGS_EQUAL(1, m_calls.size());
        return m_calls.front().m_customer.m_value;
    }
};

TEST(caller_server, a_key_names_the_customer_of_a_call)
{
    STRCMP_EQUAL("weaver", customer_of("closed", "Bearer k1").c_str());
    STRCMP_EQUAL("weaver", customer_of("closed", "bearer  k2 ").c_str());
    STRCMP_EQUAL("dyer", customer_of("closed", "BEARER k3").c_str());
}

TEST(caller_server, a_call_without_a_known_key_is_refused_and_goes_no_further)
{
    for (const auto* authorization :
         {"", "Bearer", "Bearer ", "Bearer \t ", "Bearer k", "Bearer k11", "Bearer K1", "k1",
          "Basic k1", "Bearerk1", "Bearer k1 k2", "Bearer k1,k2", "Bearer \"k1\""})
        for (const auto* method : {"GET", "POST", "DELETE", "PUT"})
        {
            const auto response = send(method, "/closed/" + some_job, authorization, some_body);
            LONGS_EQUAL(401, response.m_status);
            STRCMP_EQUAL("Bearer", std::string(response.header("WWW-Authenticate")).c_str());
            LONGS_EQUAL(401, send(method, "/closed/", authorization).m_status);
        }
    LONGS_EQUAL(0, m_calls.size());
}

// Else the answer would depend on a body that an unknown client sent, and cost its parsing.
TEST(caller_server, the_key_is_checked_before_the_body_the_id_and_the_method)
{
    LONGS_EQUAL(401, send("POST", "/closed/" + some_job, "", "[").m_status);
    LONGS_EQUAL(400, send("POST", "/closed/" + some_job, "Bearer k1", "[").m_status);
    LONGS_EQUAL(401, send("POST", "/closed/no-id", "", some_body).m_status);
    LONGS_EQUAL(400, send("POST", "/closed/no-id", "Bearer k1", some_body).m_status);
    LONGS_EQUAL(401, send("GET", "/closed/no-id", "").m_status);
    LONGS_EQUAL(410, send("GET", "/closed/no-id", "Bearer k1").m_status);
    LONGS_EQUAL(401, send("PUT", "/closed/" + some_job, "").m_status);
    LONGS_EQUAL(405, send("PUT", "/closed/" + some_job, "Bearer k1").m_status);
}

TEST(caller_server, a_path_without_a_queue_is_not_found_whatever_the_key)
{
    for (const auto* authorization : {"", "Bearer k1", "Bearer unknown"})
    {
        LONGS_EQUAL(404, send("GET", "/nothing/" + some_job, authorization).m_status);
        m_confirmed = false;
        LONGS_EQUAL(404, send("GET", "/nothing/" + some_job, authorization).m_status);
        m_confirmed = true;
    }
}

TEST(caller_server, without_a_configuration_every_call_is_to_be_retried)
{
    m_config.reset();
    for (const auto* authorization : {"", "Bearer k1"})
        for (const auto* path : {"/closed/", "/nothing/"})
        {
            const auto response = send("GET", path, authorization);
            LONGS_EQUAL(503, response.m_status);
            STRCMP_EQUAL("1", std::string(response.header("Retry-After")).c_str());
        }
}

TEST(caller_server, an_anonymous_queue_needs_no_key_but_a_known_one_names_the_customer)
{
    STRCMP_EQUAL("", customer_of("open", "").c_str());
    STRCMP_EQUAL("", customer_of("open", "Bearer unknown").c_str());
    STRCMP_EQUAL("dyer", customer_of("open", "Bearer k3").c_str());
}

TEST(caller_server, calls_that_need_a_key_are_to_be_retried_while_keys_are_unconfirmed)
{
    m_confirmed = false;
    for (const auto* authorization : {"", "Bearer k1", "Bearer unknown"})
    {
        const auto response = send("POST", "/closed/" + some_job, authorization, some_body);
        LONGS_EQUAL(503, response.m_status);
        STRCMP_EQUAL("1", std::string(response.header("Retry-After")).c_str());
    }
    LONGS_EQUAL(0, m_calls.size());
    STRCMP_EQUAL("", customer_of("open", "Bearer k3").c_str());
}

TEST(caller_server, without_customers_nothing_is_checked)
{
    m_config->m_keys_required = false;
    m_config->m_customers.clear();
    m_confirmed = false;
    STRCMP_EQUAL("", customer_of("closed", "").c_str());
    STRCMP_EQUAL("", customer_of("closed", "Bearer k1").c_str());
}

TEST(caller_server, a_configuration_whose_customers_have_no_keys_refuses_every_call)
{
    m_config->m_customers.clear();
    LONGS_EQUAL(401, send("GET", "/closed/", "Bearer k1").m_status);
}

// The leader stores the customer and its limit beside the job; a row that is too large is refused
// by the store, again and again.
TEST(caller_server, the_customers_name_counts_for_the_size_of_a_jobs_row)
{
    m_config->m_customers.front().m_name = cell::customer_id(std::string(65530, 'c'));
    LONGS_EQUAL(400, send("POST", "/closed/" + some_job, "Bearer k1", some_body).m_status);
    LONGS_EQUAL(200, send("POST", "/closed/" + some_job, "Bearer k3", some_body).m_status);
}
