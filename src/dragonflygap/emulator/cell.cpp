#include "dragonflygap/emulator/cell.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "dragonflygap/config/revision.hpp"
#include "dragonflygap/emulator/answers.hpp"
#include "dragonflygap/platform/json_codec.hpp"

namespace dragonflygap::emulator
{

namespace
{

/// Number of the configuration revision that the writes commit, if any.
std::optional<std::uint64_t> written_revision(const std::vector<platform::row_write>& writes)
{
    const auto found = std::ranges::find(writes, config::head_key, &platform::row_write::m_key);
    if (found == writes.end() || !found->m_value)
        return std::nullopt;
    return config::parse_head(*found->m_value);
}

// Answers 304 without a body if the caller's If-None-Match shows that it has this value.
emulated_answer etag_answer(const http_request& request, const nlohmann::json& value)
{
    auto answer = json_answer(value);
    const auto& body = answer.m_response.m_body;
    const auto etag = "\"" + std::to_string(XXH64(body.data(), body.size(), 0)) + "\"";
    constexpr int not_modified = 304;
    if (request.header("If-None-Match") == etag)
        return {.m_response = {.m_status = not_modified}};
    answer.m_response.m_headers.push_back({"ETag", etag});
    return answer;
}

} // namespace

cell::cell(cell_options options) : m_options(std::move(options))
{
    const auto centres = m_options.m_data_centres.size();
    const auto instance =
        static_cast<std::uint64_t>(monotonic_clock::now().time_since_epoch().count());
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
        const auto on_change = [this, id = info.m_id](const platform::task_report& task, instant at)
        { record_task(id, task, at); };
        m_vms.emplace(info.m_address, vm{.m_info = info,
                                         .m_tasks = worker_model(info.m_capacity, on_change),
                                         .m_executor = executor_model(m_options.m_slots),
                                         .m_reports = report_log(instance)});
    }
}

std::vector<endpoint> cell::endpoints() const
{
    std::vector<endpoint> result{m_options.m_platform};
    for (const auto& [address, vm] : m_vms)
        result.push_back(address);
    return result;
}

emulated_answer cell::handle(const endpoint& address, const http_request& request, instant now)
{
    const std::scoped_lock lock(m_mutex);
    try
    {
        return handle_unless_cut(address, request, now);
    }
    catch (const nlohmann::json::exception& error)
    {
        return failure_answer(verdict::not_run, reason::bad_request, error.what());
    }
}

emulated_answer cell::handle_unless_cut(const endpoint& address, const http_request& request,
                                        instant now)
{
    if (address == m_options.m_platform && request.m_path == "/faults")
        return handle_faults(request, now);
    const auto found = m_vms.find(address);
    if (address != m_options.m_platform && found == m_vms.end())
        return not_found_answer();
    const std::string_view other =
        found == m_vms.end() ? "platform" : std::string_view(found->second.m_info.m_id.m_value);
    const network_cut* cut = m_faults.find_cut(request.header(vm_header), other);
    if (cut != nullptr && !cut->m_replies_only)
        return {.m_response = {}, .m_lost = true};
    auto answer = found == m_vms.end() ? handle_platform(request, now)
                                       : handle_vm(found->second, request, now);
    answer.m_lost = answer.m_lost || cut != nullptr;
    return answer;
}

emulated_answer cell::handle_platform(const http_request& request, instant now)
{
    if (request.m_path == "/vms")
        return list_vms(request, now);
    if (m_faults.m_table_down)
        return failure_answer(verdict::not_run, reason::platform_unavailable,
                              "the platform is down");
    if (request.m_path == "/table")
    {
        auto answer = etag_answer(request, m_table.scan(request.query_value("prefix")));
        answer.m_delay = m_faults.m_table_delay;
        return answer;
    }
    if (request.m_path == "/table/commit")
        return handle_commit(request, now);
    return not_found_answer();
}

emulated_answer cell::list_vms(const http_request& request, instant now)
{
    auto list = nlohmann::json::array();
    for (auto& [address, vm] : m_vms)
    {
        const auto since = m_leaving_since.find(vm.m_info.m_id);
        vm.m_info.m_leaving =
            since != m_leaving_since.end() && since->second + m_faults.m_vm_list_lag <= now;
        if (vm.m_info.m_leaving && m_listed_leaving.insert(vm.m_info.m_id).second)
            record(history::worker_leaving{vm.m_info.m_id}, now);
        list.push_back(vm.m_info);
    }
    return etag_answer(request, list);
}

emulated_answer cell::handle_commit(const http_request& request, instant now)
{
    const auto writes =
        nlohmann::json::parse(request.m_body).get<std::vector<platform::row_write>>();
    auto result = m_table.commit(writes);
    if (const auto revision = written_revision(writes); revision && result.m_committed)
        record(history::config_committed{*revision}, now);
    if (m_faults.m_double_commits > 0)
    {
        --m_faults.m_double_commits;
        result = m_table.commit(writes);
    }
    if (result.m_committed)
        for (auto& written : result.m_rows)
            written.m_value.clear(); // the caller knows the values it wrote
    auto answer = json_answer(result);
    answer.m_delay = m_faults.m_table_delay;
    if (m_faults.m_late_replies > 0)
    {
        --m_faults.m_late_replies;
        answer.m_delay += m_faults.m_late_by;
    }
    if (m_faults.m_lose_replies > 0)
    {
        --m_faults.m_lose_replies;
        answer.m_lost = true;
    }
    return answer;
}

emulated_answer cell::handle_faults(const http_request& request, instant now)
{
    const auto body = nlohmann::json::parse(request.m_body);
    merge_faults(body, m_faults);
    const auto silenced = connections_to_silence(body);
    for (auto& [address, vm] : m_vms)
    {
        const auto& id = vm.m_info.m_id;
        vm.m_tasks.set_failing(m_faults.m_failing.contains(id));
        vm.m_tasks.set_stop_delay(m_faults.m_stop_delay);
        vm.m_tasks.set_enforce_capacity(m_faults.m_enforce_capacity);
        if (silenced.contains(id))
            vm.m_silent.insert(vm.m_connections.begin(), vm.m_connections.end());
        if (m_faults.m_leaving.contains(id))
            m_leaving_since.try_emplace(id, now);
        else if (m_leaving_since.erase(id) != 0)
            m_listed_leaving.erase(id);
    }
    return json_answer(body);
}

void cell::advance(instant now)
{
    const std::scoped_lock lock(m_mutex);
    for (auto& [address, vm] : m_vms)
        vm.m_tasks.advance(now);
}

void cell::record(const history::event& event, instant at) const
{
    if (m_options.m_record)
        m_options.m_record(event, at);
}

} // namespace dragonflygap::emulator
