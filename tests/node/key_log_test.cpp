#include <cstdio>
#include <iostream>
#include <memory>
#include <string>

#include <unistd.h>

#include "dragonflygap/node/operator_view.hpp"
#include "dragonflygap/observe/log.hpp"
#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

/// Collects what the process writes to standard output, log lines among it.
class output_capture
{
public:
    output_capture() : m_file(std::tmpfile())
    {
        flush();
        m_saved = dup(STDOUT_FILENO);
        dup2(fileno(m_file), STDOUT_FILENO);
    }
    ~output_capture() { end(); }
    output_capture(const output_capture&) = delete;
    output_capture& operator=(const output_capture&) = delete;

    std::string end()
    {
        if (m_file == nullptr)
            return {};
        flush();
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        std::string text;
        std::rewind(m_file);
        for (int c = std::fgetc(m_file); c != EOF; c = std::fgetc(m_file))
            text += static_cast<char>(c);
        std::fclose(m_file);
        m_file = nullptr;
        return text;
    }

private:
    static void flush()
    {
        std::cout.flush();
        std::fflush(stdout);
    }

    std::FILE* m_file;
    int m_saved = -1;
};

class recording_exchange : public http_exchange
{
public:
    void reply(const http_response& response) override { m_response = response; }
    void on_hangup(std::function<void()>) override {}

    http_response m_response;
};

/// What operators see of a VM.
std::string operator_pages(cell_world& world, const std::string& vm)
{
    const metrics registry;
    const auto handler = node::make_operator_handler([&] { return world.find(vm); }, registry);
    std::string text = world.metrics_of(vm);
    for (const auto* path : {"/v1/status", "/v1/config", "/v1/jobs", "/v1/workers",
                             "/v1/jobs/00000000000000a1", "/v1/nothing"})
    {
        const auto exchange = std::make_shared<recording_exchange>();
        handler({.m_path = path}, exchange);
        text += exchange->m_response.m_body;
    }
    return text;
}

} // namespace

TEST_GROUP(key_log){void setup() override{start_logging(log_level::debug, "vm");
}

void teardown() override
{
    start_logging(log_level::warning, "vm");
}
}
;

// Whoever reads logs or metrics could make calls as the customer.
TEST(key_log, no_key_reaches_a_log_line_a_metric_or_an_operators_page)
{
    output_capture output;
    std::string pages;
    std::string answers;
    {
        cell_world world({.m_customers = 2});
        const auto call = [&](const std::string& vm, const std::string& key)
        {
            for (const auto* method : {"GET", "POST", "DELETE", "PUT"})
                world.send(vm,
                           {.m_method = method,
                            .m_path = "/q/00000000000000a2",
                            .m_headers = {{"Authorization", "Bearer " + key}},
                            .m_body = "no job"},
                           [&](const http_response& response)
                           {
                               for (const auto& header : response.m_headers)
                                   answers += header.m_value;
                               answers += response.m_body;
                           });
            world.run(200ms);
        };
        world.run(3s);
        world.submit("vm0", "00000000000000a1", {{.m_run_time = 30s}}, "c0");
        call("vm0", "key-of-c0");
        call("vm1", "key-of-nobody");
        world.m_keys["c1"].emplace_back("key-of-c0"); // shared by mistake
        world.change_config();
        world.run(1s);
        // Odd lists, and a text that is no JSON at all.
        world.set_config(5, R"({"version":5,"routes":[{"name":"q","path_prefix":"/q/",)"
                            R"("host":"mill.example"}],"tenants":[{"name":7,"api_keys":["key-x"]},)"
                            R"({"name":"c0","api_keys":"key-y","weight":"key-z"}]})");
        world.run(1s);
        world.set_config(6, R"({"version":6,"routes":[],"tenants":[{"api_keys":["key-w"])");
        world.run(1s);
        call("vm2", "key-x");
        world.change_config();
        world.cut("vm1", "store");
        world.cut("vm1", world.leader() == "vm0" ? "vm2" : "vm0");
        world.run(3s);
        call("vm1", "key-of-c1");
        world.kill(world.leader());
        world.run(3s);
        for (int i = 0; i < 3; ++i)
            if (const auto vm = "vm" + std::to_string(i); world.find(vm) != nullptr)
                pages += operator_pages(world, vm);
    }
    const auto lines = output.end();
    // The lines were captured, and the pages are those of VMs that have customers.
    CHECK(lines.find("event=config_in_force version=1 queues=2 customers=2") != std::string::npos);
    CHECK(lines.find("event=customers_odd") != std::string::npos);
    CHECK(lines.find("source=peer") != std::string::npos);
    CHECK(pages.find("dragonflygap_caller_refusals_total") != std::string::npos);
    CHECK(lines.find("key-") == std::string::npos);
    CHECK(pages.find("key-") == std::string::npos);
    CHECK(answers.find("key-") == std::string::npos);
}
