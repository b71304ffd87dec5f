#include <nlohmann/json.hpp>

#include "dragonflygap/emulator/answers.hpp"
#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/platform/json_codec.hpp"

/// Requests to the cell's workers and executors.
namespace dragonflygap::emulator
{

namespace
{

constexpr duration default_run_time = 5ms;
constexpr std::size_t oversized_answer_bytes = 32U << 20U; // above any size limit of callers

/// Execution parameters from the body of a request.
struct execution_params
{
    duration m_run_time = default_run_time;
    std::string m_token;
};

execution_params parse_execution_params(const http_request& request)
{
    execution_params result;
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

emulated_answer cell::handle_vm(vm& worker, const http_request& request, instant now)
{
    worker.m_connections.insert(request.m_peer);
    if (worker.m_silent.contains(request.m_peer))
        return {.m_response = {}, .m_lost = true};
    if (request.m_path == "/execute")
        return handle_execute(worker, request, now);
    constexpr std::string_view executions = "/executions/";
    if (request.m_path.starts_with(executions))
    {
        constexpr std::string_view names[] = {"unknown", "running", "done"};
        const request_id id(request.m_path.substr(executions.size()));
        const auto state = worker.m_executor.state_of(id, now);
        return json_answer({{"state", names[static_cast<int>(state)]},
                            {"starts", worker.m_executor.start_count(id)}});
    }
    const auto body = nlohmann::json::parse(request.m_body);
    if (request.m_path == "/tasks/start")
        return to_answer(worker.m_tasks.start(body.get<platform::start_task>(), now));
    if (request.m_path == "/tasks/renew")
        return renew_tasks(worker, body, now);
    if (request.m_path == "/tasks/stop")
        return to_answer(worker.m_tasks.stop(body.at("epoch"),
                                             task_id(body.at("task").get<std::string>()), now));
    return not_found_answer();
}

emulated_answer cell::renew_tasks(vm& worker, const nlohmann::json& body, instant now)
{
    const auto reports = worker.m_tasks.renew(body.get<platform::renew_leases>(), now);
    if (!reports)
        return {.m_response = failure_response(reports.error())};
    return json_answer(worker.m_reports.answer(*reports, body.value("cursor", "")));
}

emulated_answer cell::handle_execute(vm& worker, const http_request& request, instant now)
{
    const request_id id(std::string(request.header("X-Dragonflygap-Request")));
    const auto params = parse_execution_params(request);
    if (!worker.m_executor.start(id, params.m_run_time, now, m_faults.m_enforce_capacity))
        return failure_answer(verdict::not_run, reason::target_refused, "all slots are in use");
    const auto& executor = worker.m_info.m_executors.front();
    record(history::execution_started{.m_request = id,
                                      .m_token = params.m_token,
                                      .m_target = executor.m_id,
                                      .m_worker = worker.m_info.m_id,
                                      .m_slots = executor.m_slots,
                                      .m_run_time = params.m_run_time},
           now);
    nlohmann::json body{{"request", id.m_value}, {"executor", executor.m_id.m_value}};
    if (!params.m_token.empty())
        body["token"] = params.m_token;
    auto answer = json_answer(body);
    if (m_faults.m_failing.contains(worker.m_info.m_id))
        answer.m_response = {.m_status = 500, .m_body = "the executor failed"};
    answer.m_delay = params.m_run_time + m_faults.m_executor_delay;
    corrupt_answer(answer);
    return answer;
}

void cell::corrupt_answer(emulated_answer& answer)
{
    auto& response = answer.m_response;
    if (m_faults.m_large_answers > 0)
    {
        --m_faults.m_large_answers;
        response.m_body.append(oversized_answer_bytes, ' ');
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
