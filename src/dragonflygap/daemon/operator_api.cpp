#include "dragonflygap/daemon/operator_api.hpp"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/daemon/config_driver.hpp"
#include "dragonflygap/daemon/job_driver.hpp"
#include "dragonflygap/daemon/member_driver.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/schemas.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr std::string_view job_path = "/v1/jobs/";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::string_view schema_path = "/v1/schema/";

void reply_json(const http_exchange_ptr& exchange, int status, const nlohmann::json& body)
{
    exchange->reply(
        json_response(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

void reply_failure(const http_exchange_ptr& exchange, verdict result_verdict, reason cause,
                   std::string detail)
{
    exchange->reply(failure_response({result_verdict, cause, std::move(detail)}));
}

void reply_text(const http_exchange_ptr& exchange, int status, std::string body)
{
    exchange->reply({.m_status = status,
                     .m_headers = {{"Content-Type", "text/plain; charset=utf-8"}},
                     .m_body = std::move(body)});
}

void reply_validation_errors(const http_exchange_ptr& exchange,
                             const std::vector<config::validation_error>& errors)
{
    nlohmann::json body{{"verdict", "not_run"},
                        {"reason", "bad_request"},
                        {"detail", config::to_string(errors)},
                        {"faults", nlohmann::json::array()}};
    for (const auto& error : errors)
        body["faults"].push_back({{"path", error.m_path}, {"problem", error.m_problem}});
    reply_json(exchange, 400, body);
}

void get_members(const operator_api_options& api, const http_exchange_ptr& exchange)
{
    auto list = nlohmann::json::array();
    for (const auto& [vm, member] : api.m_members->members().members())
        list.push_back({{"vm", vm.m_value},
                        {"data_centre", member.m_data_centre.m_value},
                        {"status", to_string(member.m_status)},
                        {"hears_us", member.m_hears_us},
                        {"config_version", member.m_config_version},
                        {"free_slots", member.m_load.m_free_slots}});
    reply_json(exchange, 200, list);
}

void get_config(const operator_api_options& api, const http_exchange_ptr& exchange)
{
    const auto& active = api.m_config->active_document();
    reply_json(exchange, 200, {{"version", active.m_version}, {"document", active.m_text}});
}

void put_config(const operator_api_options& api, const http_request& request,
                const http_exchange_ptr& exchange)
{
    const auto text = request.query_value("expected");
    std::uint64_t expected = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), expected);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return reply_failure(
            exchange, verdict::not_run, reason::bad_request,
            "the query must give the version that the change is based on: ?expected=NUMBER");
    const auto parsed = config::parse_document(request.m_body);
    if (!parsed)
        return reply_validation_errors(exchange, parsed.error());
    api.m_config->apply(expected, request.m_body,
                        [exchange](outcome<std::uint64_t> version)
                        {
                            if (!version)
                                return exchange->reply(failure_response(version.error()));
                            reply_json(exchange, 200, {{"version", *version}});
                        });
}

void get_config_history(const operator_api_options& api, const http_exchange_ptr& exchange)
{
    api.m_config->history(
        [exchange](const outcome<std::vector<config::revision>>& revisions)
        {
            if (!revisions)
                return exchange->reply(failure_response(revisions.error()));
            auto list = nlohmann::json::array();
            for (const auto& item : *revisions)
                list.push_back({{"version", item.m_number},
                                {"change", item.m_change},
                                {"document", item.m_text}});
            reply_json(exchange, 200, list);
        });
}

void get_jobs(const operator_api_options& api, const http_exchange_ptr& exchange)
{
    auto list = nlohmann::json::array();
    for (const auto& [id, job] : api.m_jobs->manager().jobs())
        list.push_back(job);
    reply_json(exchange, 200, list);
}

void get_job(const operator_api_options& api, const std::string& id,
             const http_exchange_ptr& exchange)
{
    // Read from the table, since the parts of a job may belong to several entry VMs.
    api.m_jobs->find(job_id(id),
                     [exchange](outcome<std::vector<placement::job_part>> parts)
                     {
                         if (!parts)
                             return exchange->reply(failure_response(parts.error()));
                         if (parts->empty())
                             return reply_failure(exchange, verdict::not_run, reason::not_found,
                                                  "no such job");
                         placement::job merged{.m_spec = parts->front().m_job.m_spec};
                         for (const auto& part : *parts)
                             merged.m_tasks.insert(merged.m_tasks.end(), part.m_job.m_tasks.begin(),
                                                   part.m_job.m_tasks.end());
                         reply_json(exchange, 200, merged);
                     });
}

void cancel_job(const operator_api_options& api, const std::string& id,
                const http_exchange_ptr& exchange)
{
    api.m_jobs->cancel(job_id(id),
                       [exchange](outcome<job_id> result)
                       {
                           if (!result)
                               return exchange->reply(failure_response(result.error()));
                           reply_json(exchange, 202, {{"cancelled", result->m_value}});
                       });
}

void post_job(const operator_api_options& api, const http_request& request,
              const http_exchange_ptr& exchange)
{
    auto parsed = placement::parse_job(request.m_body);
    if (!parsed)
        return reply_validation_errors(exchange, parsed.error());
    api.m_jobs->submit(std::move(*parsed),
                       [exchange](outcome<job_id> result)
                       {
                           if (!result)
                               return exchange->reply(failure_response(result.error()));
                           reply_json(exchange, 202, {{"id", result->m_value}});
                       });
}

void get_schema(std::string_view name, const http_exchange_ptr& exchange)
{
    if (name == "settings")
        return exchange->reply(json_response(200, std::string(schemas::settings)));
    if (name == "config")
        return exchange->reply(json_response(200, std::string(schemas::config)));
    if (name == "job")
        return exchange->reply(json_response(200, std::string(schemas::job)));
    reply_failure(exchange, verdict::not_run, reason::not_found,
                  "unknown schema; the schemas are settings, config and job");
}

} // namespace

void handle_operator_request(const operator_api_options& api, const http_request& request,
                             const http_exchange_ptr& exchange)
{
    const auto& path = request.m_path;
    const bool get = request.m_method == "GET";
    if (get && path == "/healthz")
        return reply_text(exchange, 200, "ok\n");
    if (get && path == "/readyz")
        return api.m_ready() ? reply_text(exchange, 200, "ready\n")
                             : reply_text(exchange, 503, "not ready\n");
    if (get && path == "/metrics")
        return reply_text(exchange, 200, api.m_metrics->text());
    if (get && path == "/v1/status")
        return exchange->reply(json_response(200, api.m_status()));
    if (get && path == "/v1/workers")
        return exchange->reply(json_response(200, api.m_workers()));
    if (get && path == "/v1/members")
        return get_members(api, exchange);
    if (get && path == "/v1/config")
        return get_config(api, exchange);
    if (get && path == "/v1/config/history")
        return get_config_history(api, exchange);
    if (request.m_method == "PUT" && path == "/v1/config")
        return put_config(api, request, exchange);
    if (get && path == "/v1/jobs")
        return get_jobs(api, exchange);
    if (request.m_method == "POST" && path.starts_with(job_path) && path.ends_with(cancel_suffix))
        return cancel_job(
            api, path.substr(job_path.size(), path.size() - job_path.size() - cancel_suffix.size()),
            exchange);
    if (get && path.starts_with(job_path))
        return get_job(api, path.substr(job_path.size()), exchange);
    if (request.m_method == "POST" && path == "/v1/jobs")
        return post_job(api, request, exchange);
    if (request.m_method == "POST" && path == "/v1/drain")
    {
        api.m_drain();
        return reply_json(exchange, 202, {{"draining", true}});
    }
    if (get && path.starts_with(schema_path))
        return get_schema(std::string_view(path).substr(schema_path.size()), exchange);
    reply_failure(exchange, verdict::not_run, reason::not_found,
                  "unknown endpoint " + request.m_method + " " + path + "; see docs/API.md");
}

} // namespace dragonflygap::daemon
