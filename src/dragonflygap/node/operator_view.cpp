#include "dragonflygap/node/operator_view.hpp"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/node/node.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/schemas.hpp"

namespace dragonflygap::node
{

namespace
{

using nlohmann::json;

constexpr std::string_view status_names[] = {"waiting", "placed", "done"};

json status_of(const node& self)
{
    json status{{"vm", self.vm().m_value},
                {"ready", self.ready()},
                {"stopping", self.stopping()},
                {"leader", self.leader().value_or(vm_id{}).m_value},
                {"config_version", self.config() == nullptr ? 0 : self.config()->m_version}};
    if (const auto* leading = self.leading())
    {
        const auto& state = leading->state();
        status["epoch"] = state.record().m_epoch;
        status["jobs"] = state.live_jobs();
        status["steps_waiting"] = state.ready_steps();
        status["workers"] = state.workers().size();
    }
    return status;
}

json workers_of(const cell::coordinator& state)
{
    json result = json::array();
    for (const auto& [id, worker] : state.workers())
        result.push_back({{"worker", id.m_value},
                          {"data_centre", worker.m_info.m_data_centre.m_value},
                          {"tasks", worker.m_placements.size()},
                          {"free_millicores", worker.free().m_millicores},
                          {"free_memory_mb", worker.free().m_memory_mb},
                          {"listed", worker.m_listed},
                          {"leaving", worker.m_info.m_leaving},
                          {"synced", worker.m_synced}});
    return result;
}

json job_of(const cell::job_state& job, const cell::coordinator& state)
{
    json tasks = json::array();
    for (const auto& [k, steps] : job.open_occurrences())
        for (int s = 0; s < job.steps(); ++s)
            for (const auto& task : steps[s].m_tasks)
                tasks.push_back({{"occurrence", k},
                                 {"step", s},
                                 {"state", status_names[static_cast<int>(task.m_status)]},
                                 {"run", task.m_run},
                                 {"worker", task.m_worker.m_value},
                                 {"failures", task.m_failed_runs.size()}});
    return {{"id", job.id().m_value},
            {"queue", job.record().m_queue.m_name.m_value},
            {"state", state.state_of(job.id())},
            {"tasks", std::move(tasks)}};
}

json config_of(const cell::cell_config& config)
{
    json queues = json::array();
    for (const auto& queue : config.m_queues)
        queues.push_back({{"queue", queue.m_name.m_value},
                          {"host", queue.m_host},
                          {"path", queue.m_path_prefix},
                          {"service", queue.m_service.m_value},
                          {"priority", queue.m_priority},
                          {"max_attempts", queue.m_max_attempts},
                          {"needs_approval", queue.m_approval.required()}});
    return queues;
}

http_response not_leading(const node& self)
{
    const auto leader = self.leader();
    return failure_response({verdict::not_run, reason::not_owner,
                             leader ? "this VM isn't the leader; the leader is " + leader->m_value
                                    : std::string("this VM isn't the leader; no leader is known")});
}

http_response answer(const node& self, const std::string& path, const metrics& registry)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    constexpr std::string_view jobs = "/v1/jobs";
    if (path == "/metrics")
        return {.m_headers = {{"Content-Type", "text/plain"}}, .m_body = registry.text()};
    if (path == "/healthz")
        return json_response(ok, "{}");
    if (path == "/readyz")
        return json_response(self.ready() ? ok : unavailable, "{}");
    if (path == "/v1/status")
        return json_response(ok, status_of(self).dump());
    if (path == "/v1/schema/settings")
        return json_response(ok, std::string(schemas::settings));
    if (path == "/v1/config" && self.config() != nullptr)
        return json_response(ok, config_of(*self.config()).dump());
    const auto* leading = self.leading();
    const bool leader_only = path == "/v1/workers" || path.starts_with(jobs);
    if (!leader_only)
        return failure_response({verdict::not_run, reason::not_found, "unknown path " + path});
    if (leading == nullptr)
        return not_leading(self);
    if (path == "/v1/workers")
        return json_response(ok, workers_of(leading->state()).dump());
    if (path == jobs)
    {
        json list = json::array();
        leading->state().for_each_job([&](const cell::job_state& job)
                                      { list.push_back(job_of(job, leading->state())); });
        return json_response(ok, list.dump());
    }
    const auto* job = leading->state().find_job(job_id(path.substr(jobs.size() + 1)));
    if (job == nullptr)
        return failure_response(
            {verdict::not_run, reason::not_found, "no active job with this id"});
    return json_response(ok, job_of(*job, leading->state()).dump());
}

} // namespace

std::function<void(http_request, http_exchange_ptr)>
make_operator_handler(std::function<const node*()> get_node, const metrics& registry)
{
    return [get_node = std::move(get_node), &registry](const http_request& request,
                                                       const http_exchange_ptr& exchange)
    { exchange->reply(answer(*get_node(), request.m_path, registry)); };
}

} // namespace dragonflygap::node
