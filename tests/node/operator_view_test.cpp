#include "dragonflygap/node/operator_view.hpp"

#include <memory>

#include <nlohmann/json.hpp>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

class recording_exchange : public http_exchange
{
public:
    void reply(const http_response& response) override { m_response = response; }
    void on_hangup(std::function<void()>) override {}
    http_response m_response;
};

http_response send_request(cell_world& world, const std::string& vm, const std::string& path)
{
    const metrics registry;
    const auto handler = node::make_operator_handler([&] { return world.find(vm); }, registry);
    const auto exchange = std::make_shared<recording_exchange>();
    handler({.m_path = path}, exchange);
    return exchange->m_response;
}

} // namespace

TEST_GROUP(operator_view){};

TEST(operator_view, the_leader_reports_jobs_and_workers)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", "00000000000000a1", {{.m_run_time = 5s}});
    world.run(500ms);
    const auto job = nlohmann::json::parse(
        send_request(world, world.leader(), "/v1/jobs/00000000000000a1").m_body);
    STRCMP_EQUAL("running", job["state"].get<std::string>().c_str());
    STRCMP_EQUAL("placed", job["tasks"][0]["state"].get<std::string>().c_str());
    LONGS_EQUAL(
        4, nlohmann::json::parse(send_request(world, world.leader(), "/v1/workers").m_body).size());
    LONGS_EQUAL(
        1, nlohmann::json::parse(send_request(world, world.leader(), "/v1/jobs").m_body).size());
    LONGS_EQUAL(1, nlohmann::json::parse(send_request(world, "vm2", "/v1/config").m_body).size());
}

TEST(operator_view, another_vm_names_the_leader)
{
    cell_world world({});
    world.run(3s);
    const auto* other = world.leader() == "vm0" ? "vm1" : "vm0";
    const auto answer = send_request(world, other, "/v1/jobs");
    CHECK_TRUE(answer.m_status >= 400);
    CHECK_TRUE(answer.m_body.find(world.leader()) != std::string::npos);
    LONGS_EQUAL(404, send_request(world, other, "/v1/nothing").m_status);
    LONGS_EQUAL(200, send_request(world, other, "/readyz").m_status);
}
