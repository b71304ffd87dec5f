#include "dragonflygap/emulator/cell.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"

namespace dragonflygap::emulator
{

namespace
{

constexpr duration default_run_time = 5ms;

emulated_answer json_answer(const nlohmann::json& body)
{
    return {json_response(200, body.dump())};
}

emulated_answer failed(verdict what, reason why, std::string detail)
{
    return {failure_response({what, why, std::move(detail)})};
}

emulated_answer not_found()
{
    return failed(verdict::not_run, reason::not_found, "no such path");
}

template <class T>
emulated_answer answer_of(const outcome<T>& result)
{
    if (!result)
        return {failure_response(result.error())};
    return json_answer(*result);
}

duration run_time_of(const http_request& request)
{
    const auto body = nlohmann::json::parse(request.m_body, nullptr, false);
    if (body.is_object() && body.contains("run_ms") && body["run_ms"].is_number())
        return duration(static_cast<duration::rep>(body["run_ms"].get<double>() * 1000));
    return default_run_time;
}

} // namespace

cell::cell(cell_options options) : m_options(std::move(options))
{
    const auto centres = m_options.m_data_centres.size();
    for (int i = 0; i < m_options.m_workers; ++i)
    {
        const auto& centre = m_options.m_data_centres[static_cast<std::size_t>(i) % centres];
        const auto in_centre = i / static_cast<int>(centres);
        platform::worker info;
        info.m_id = worker_id("worker-" + std::to_string(i));
        info.m_data_centre = centre;
        info.m_rack = rack_id(centre.m_value + "-rack-" +
                              std::to_string(in_centre / m_options.m_workers_per_rack));
        info.m_address = {m_options.m_platform.m_ip,
                          static_cast<std::uint16_t>(m_options.m_first_worker_port + i)};
        info.m_capacity = m_options.m_capacity;
        info.m_executors.push_back({.m_id = target_id("executor-" + std::to_string(i)),
                                    .m_address = info.m_address,
                                    .m_slots = m_options.m_slots,
                                    .m_connections = m_options.m_connections});
        m_vms.emplace(info.m_address,
                      vm{info, worker_model(info.m_capacity), executor_model(m_options.m_slots)});
    }
}

std::vector<endpoint> cell::endpoints() const
{
    std::vector<endpoint> result{m_options.m_platform};
    for (const auto& [at, vm] : m_vms)
        result.push_back(at);
    return result;
}

emulated_answer cell::handle(const endpoint& at, const http_request& request, instant now)
{
    const std::scoped_lock lock(m_mutex);
    try
    {
        if (at == m_options.m_platform)
            return handle_platform(request);
        const auto found = m_vms.find(at);
        if (found == m_vms.end())
            return not_found();
        return handle_vm(found->second, request, now);
    }
    catch (const nlohmann::json::exception& error)
    {
        return failed(verdict::not_run, reason::bad_request, error.what());
    }
}

emulated_answer cell::handle_platform(const http_request& request)
{
    if (request.m_path == "/faults")
        return handle_faults(request);
    if (request.m_path == "/vms")
    {
        auto list = nlohmann::json::array();
        for (const auto& [at, vm] : m_vms)
            list.push_back(vm.m_info);
        return json_answer(list);
    }
    if (m_faults.m_table_down)
        return failed(verdict::not_run, reason::platform_unavailable, "the platform is down");
    if (request.m_path == "/table")
    {
        auto answer = json_answer(m_table.scan(request.query_value("prefix")));
        answer.m_delay = m_faults.m_table_delay;
        return answer;
    }
    if (request.m_path == "/table/commit")
        return handle_commit(request);
    return not_found();
}

emulated_answer cell::handle_commit(const http_request& request)
{
    const auto writes =
        nlohmann::json::parse(request.m_body).get<std::vector<platform::row_write>>();
    auto answer = json_answer(m_table.commit(writes));
    answer.m_delay = m_faults.m_table_delay;
    if (m_faults.m_lose_replies > 0)
    {
        --m_faults.m_lose_replies;
        answer.m_lost = true;
    }
    return answer;
}

emulated_answer cell::handle_faults(const http_request& request)
{
    const auto body = nlohmann::json::parse(request.m_body);
    m_faults.m_table_down = body.value("table_down", false);
    m_faults.m_table_delay = std::chrono::milliseconds(body.value("table_delay_ms", 0));
    m_faults.m_lose_replies = body.value("lose_replies", 0);
    return json_answer(body);
}

emulated_answer cell::handle_vm(vm& at, const http_request& request, instant now)
{
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
        return answer_of(at.m_tasks.renew(body.get<platform::renew_leases>(), now));
    if (request.m_path == "/tasks/stop")
        return answer_of(
            at.m_tasks.stop(body.at("epoch"), task_id(body.at("task").get<std::string>()), now));
    return not_found();
}

emulated_answer cell::handle_execute(vm& at, const http_request& request, instant now)
{
    const request_id id(std::string(request.header("X-Dragonflygap-Request")));
    const auto run_time = run_time_of(request);
    if (!at.m_executor.start(id, run_time, now))
        return failed(verdict::not_run, reason::target_refused, "all slots are taken");
    const nlohmann::json body{{"request", id.m_value},
                              {"executor", at.m_info.m_executors.front().m_id.m_value}};
    auto answer = json_answer(body);
    answer.m_delay = run_time;
    return answer;
}

} // namespace dragonflygap::emulator
