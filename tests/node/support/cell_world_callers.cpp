#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/support/cell_world.hpp"
#include "platform/names.hpp"

namespace stand_in
{

namespace
{

using nlohmann::json;

} // namespace

std::vector<http_header> cell_world::authorization(const std::string& key) const
{
    if (key.empty())
        return {};
    return {{"Authorization", "Bearer " + key}};
}

void cell_world::submit(const std::string& vm, const std::string& job, std::vector<task_spec> steps,
                        const std::string& customer)
{
    json body{{"specification", "payload of " + job}, {"steps", json::array()}};
    for (const auto& step : steps)
    {
        json entry{{"count", step.m_gang_size},
                   {"cpu", step.m_cpu},
                   {"requested_memory_mb", step.m_memory_mb},
                   {"estimated_duration_ms", to_ms(step.m_run_time)}};
        if (step.m_checkpoints)
            entry["checkpointing"] = true;
        if (step.m_gang)
            entry["gang"] = true;
        if (!step.m_depends_on.empty())
            entry["depends_on"] = step.m_depends_on;
        body["steps"].push_back(entry);
    }
    m_jobs[job] = std::move(steps);
    m_submissions[job];
    retry(vm, job, body.dump(), customer);
}

void cell_world::retry(const std::string& vm, const std::string& job, const std::string& body,
                       const std::string& customer)
{
    constexpr int accepted = 200;
    constexpr int unauthorized = 401;
    constexpr int unavailable = 503;
    constexpr duration caller_timeout = 3s;
    auto answered = std::make_shared<bool>(false);
    send(vm,
         {.m_method = "POST",
          .m_path = "/q/" + job,
          .m_headers = authorization(m_caller_keys[customer]),
          .m_body = body},
         [this, vm, job, body, customer, answered](const http_response& response)
         {
             if (std::exchange(*answered, true))
                 return;
             auto& recorded = m_submissions[job];
             recorded.m_status = response.m_status;
             recorded.m_retry_after = std::string(response.header("Retry-After"));
             recorded.m_accepted = recorded.m_accepted || response.m_status == accepted;
             const bool rejected =
                 response.m_status == unavailable || response.m_status == unauthorized;
             recorded.m_all_rejected = recorded.m_all_rejected && rejected;
             if (recorded.m_all_rejected)
                 m_checker.m_rejected.insert(job);
             else
                 m_checker.m_rejected.erase(job);
             if (response.m_status != accepted && !rejected)
                 retry(vm, job, body, customer);
         });
    // Without an answer the caller retries through another VM.
    schedule(caller_timeout,
             [this, job, body, customer, answered]
             {
                 if (std::exchange(*answered, true) || m_processes.empty())
                     return;
                 m_submissions[job].m_all_rejected = false;
                 auto next = m_processes.begin();
                 std::advance(next, static_cast<std::ptrdiff_t>(m_random() % m_processes.size()));
                 retry(next->first, job, body, customer);
             });
}

std::string cell_world::state(const std::string& vm, const std::string& job,
                              const std::string& customer)
{
    std::string text;
    send(vm, {.m_path = "/q/" + job, .m_headers = authorization(m_caller_keys[customer])},
         [&text](const http_response& response)
         {
             text = response.m_status == 200 ? json::parse(response.m_body).value("state", "")
                                             : std::to_string(response.m_status);
         });
    run(2s);
    return text;
}

int cell_world::try_key(const std::string& vm, const std::string& key)
{
    auto status = std::make_shared<int>(0);
    send(vm, {.m_path = "/q/", .m_headers = authorization(key)},
         [status](const http_response& response) { *status = response.m_status; });
    constexpr duration step = 10ms;
    for (duration waited{}; *status == 0 && waited < 2s; waited += step)
        run(step);
    return *status;
}

void cell_world::cancel(const std::string& vm, const std::string& job, const std::string& customer)
{
    constexpr duration cancel_timeout = 5s; // for the cancellation and for stopping the tasks
    send(vm,
         {.m_method = "DELETE",
          .m_path = "/q/" + job,
          .m_headers = authorization(m_caller_keys[customer])},
         [this, job](const http_response& response)
         {
             constexpr int ok = 200;
             if (response.m_status == ok)
                 schedule(cancel_timeout, [this, job] { m_checker.m_cancelled.insert(job); });
         });
}

int cell_world::completed() const
{
    int count = 0;
    for (const auto& [job, steps] : m_jobs)
    {
        bool done = true;
        for (std::size_t s = 0; s < steps.size(); ++s)
        {
            int ended = 0;
            for (int i = 0; i < steps[s].m_gang_size; ++i)
                ended += m_checker.m_done.count(
                    wire::task_name({job_id(job), 0, static_cast<int>(s), i}));
            done = done && ended == steps[s].m_gang_size;
        }
        count += done ? 1 : 0;
    }
    return count;
}

std::vector<std::string> cell_world::accepted_not_done() const
{
    std::vector<std::string> result;
    for (const auto& [job, recorded] : m_submissions)
    {
        const auto& steps = m_jobs.at(job);
        for (std::size_t s = 0; s < steps.size() && recorded.m_accepted; ++s)
            for (int i = 0; i < steps[s].m_gang_size; ++i)
            {
                const auto task = wire::task_name({job_id(job), 0, static_cast<int>(s), i});
                if (m_checker.m_done.count(task) == 0)
                    result.push_back(task);
            }
    }
    return result;
}

} // namespace stand_in
