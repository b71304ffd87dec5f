#include <nlohmann/json.hpp>

#include "dragonflygap/emulator/answers.hpp"
#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/platform/json_codec.hpp"

/// The cell's workers and their executors.
namespace dragonflygap::emulator
{

namespace
{

constexpr duration default_run_time = 5ms;
constexpr std::size_t above_any_limit = 32U << 20U;

/// What the body of a request asks of the executor.
struct execution
{
    duration m_run_time = default_run_time;
    std::string m_token;
};

execution read_execution(const http_request& request)
{
    execution result;
    const auto body = nlohmann::json::parse(request.m_body, nullptr, false);
    if (!body.is_object())
        return result;
    if (body.contains("run_ms") && body["run_ms"].is_number())
        result.m_run_time =
            duration(static_cast<duration::rep>(body["run_ms"].get<double>() * 1000));
    if (body.contains("token") && body["token"].is_string())
        result.m_token = body["token"];
    return result;
}

} // namespace

emulated_answer cell::handle_vm(vm& at, const http_request& request, instant now)
{
    at.m_connections.insert(request.m_peer);
    if (at.m_silent.contains(request.m_peer))
        return {.m_response = {}, .m_lost = true};
    if (request.m_path == "/execute")
        return handle_execute(at, request, now);
    constexpr std::string_view executions = "/executions/";
    if (request.m_path.starts_with(executions))
    {
        constexpr std::string_view names[] = {"unknown", "running", "done"};
        const request_id id(request.m_path.substr(executions.size()));
        const auto state = at.m_executor.state_of(id, now);
        return json_answer(
            {{"state", names[static_cast<int>(state)]}, {"starts", at.m_executor.starts_of(id)}});
    }
    const auto body = nlohmann::json::parse(request.m_body);
    if (request.m_path == "/tasks/start")
        return answer_of(at.m_tasks.start(body.get<platform::start_task>(), now));
    if (request.m_path == "/tasks/renew")
        return renew_tasks(at, body, now);
    if (request.m_path == "/tasks/stop")
        return answer_of(
            at.m_tasks.stop(body.at("epoch"), task_id(body.at("task").get<std::string>()), now));
    return not_found();
}

emulated_answer cell::renew_tasks(vm& at, const nlohmann::json& body, instant now)
{
    const auto reports = at.m_tasks.renew(body.get<platform::renew_leases>(), now);
    if (!reports)
        return {.m_response = failure_response(reports.error())};
    return json_answer(at.m_reports.answer(*reports, body.value("cursor", "")));
}

emulated_answer cell::handle_execute(vm& at, const http_request& request, instant now)
{
    const request_id id(std::string(request.header("X-Dragonflygap-Request")));
    const auto asked = read_execution(request);
    if (!at.m_executor.start(id, asked.m_run_time, now, m_faults.m_enforce_capacity))
        return failed(verdict::not_run, reason::target_refused, "all slots are taken");
    const auto& executor = at.m_info.m_executors.front();
    record(history::execution_started{.m_request = id,
                                      .m_token = asked.m_token,
                                      .m_target = executor.m_id,
                                      .m_worker = at.m_info.m_id,
                                      .m_slots = executor.m_slots,
                                      .m_run_time = asked.m_run_time},
           now);
    nlohmann::json body{{"request", id.m_value}, {"executor", executor.m_id.m_value}};
    if (!asked.m_token.empty())
        body["token"] = asked.m_token;
    auto answer = json_answer(body);
    if (m_faults.m_failing.contains(at.m_info.m_id))
        answer.m_response = {.m_status = 500, .m_body = "the executor failed"};
    answer.m_delay = asked.m_run_time + m_faults.m_executor_delay;
    spoil(answer);
    return answer;
}

void cell::spoil(emulated_answer& answer)
{
    auto& response = answer.m_response;
    if (m_faults.m_large_answers > 0)
    {
        --m_faults.m_large_answers;
        response.m_body.append(above_any_limit, ' ');
    }
    else if (m_faults.m_cut_answers > 0)
    {
        --m_faults.m_cut_answers;
        response.m_headers.push_back({"Content-Length", std::to_string(response.m_body.size())});
        response.m_headers.push_back({"Connection", "close"});
        response.m_body.resize(response.m_body.size() / 2);
    }
}

void cell::record_task(const worker_id& worker, const platform::task_report& task, instant at) const
{
    if (task.m_state == platform::task_state::running)
        record(history::worker_task_started{task.m_task, worker, task.m_size, m_options.m_capacity},
               at);
    else
        record(history::worker_task_ended{task.m_task, worker}, at);
}

} // namespace dragonflygap::emulator
