#include "dragonflygap/platform/http_platform.hpp"

#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"
#include "dragonflygap/platform/report_cache.hpp"

namespace dragonflygap::platform
{

namespace
{

// Reads a 200 answer's body as T; anything else becomes a failure.
template <class T>
outcome<T> read_answer(outcome<http_response> answer)
{
    if (!answer)
        return tl::make_unexpected(answer.error());
    if (answer->m_status != 200)
        return tl::make_unexpected(failure_of_response(*answer));
    try
    {
        return nlohmann::json::parse(answer->m_body).get<T>();
    }
    catch (const nlohmann::json::exception& error)
    {
        return fail(verdict::may_have_run, reason::internal, error.what());
    }
}

http_request json_post(std::string path, const nlohmann::json& body)
{
    return {.m_method = "POST", .m_path = std::move(path), .m_body = body.dump()};
}

template <class T, class Done>
http_transport::done reading(Done done)
{
    return [done = std::move(done)](outcome<http_response> answer)
    { done(read_answer<T>(std::move(answer))); };
}

outcome<std::optional<std::vector<worker>>> read_vm_list(outcome<http_response> answer,
                                                         std::string& last_tag)
{
    constexpr int not_modified = 304;
    if (answer && answer->m_status == not_modified)
        return std::optional<std::vector<worker>>();
    const std::string tag(answer ? answer->header("ETag") : "");
    auto list = read_answer<std::vector<worker>>(std::move(answer));
    if (!list)
        return tl::make_unexpected(list.error());
    last_tag = tag;
    return std::optional(std::move(*list));
}

/// Renews leases at workers that tell only what changed.
class lease_renewer
{
public:
    explicit lease_renewer(http_platform_options options) : m_options(std::move(options)) {}

    void renew(const worker& to, const renew_leases& what, const renew_done& done)
    {
        if (!m_cache.begin(to.m_id))
            return done(fail(verdict::not_run, reason::timeout, "a renewal is under way"));
        send(to, what, done);
    }

private:
    void send(const worker& to, const renew_leases& what, const renew_done& done)
    {
        nlohmann::json body = what;
        body["cursor"] = m_cache.cursor(to.m_id, what.m_epoch);
        m_options.m_transport.m_send(to.m_address, json_post("/tasks/renew", body),
                                     m_options.m_timeout,
                                     [this, to, what, done](outcome<http_response> answer)
                                     { on_answer(to, what, done, std::move(answer)); });
    }

    void on_answer(const worker& to, const renew_leases& what, const renew_done& done,
                   outcome<http_response> answer)
    {
        const auto read = read_answer<renewal>(std::move(answer));
        const auto reports = read ? m_cache.apply(to.m_id, what, *read) : std::nullopt;
        if (read && !reports && !read->m_complete)
            return send(to, what, done);
        m_cache.end(to.m_id);
        if (reports)
            return done(*reports);
        m_cache.forget(to.m_id);
        if (!read)
            return done(tl::make_unexpected(read.error()));
        done(fail(verdict::may_have_run, reason::internal, "the worker's reports don't add up"));
    }

    http_platform_options m_options;
    report_cache m_cache;
};

} // namespace

table_port make_http_table(const http_platform_options& options)
{
    return {
        .m_scan =
            [options](const std::string& prefix, read_done done)
        {
            http_request request{.m_path = "/table", .m_query = "prefix=" + prefix};
            options.m_transport.m_send(options.m_address, std::move(request), options.m_timeout,
                                       reading<std::vector<row>>(std::move(done)));
        },
        .m_commit =
            [options](const std::vector<row_write>& writes, commit_done done)
        {
            options.m_transport.m_send(options.m_address, json_post("/table/commit", writes),
                                       options.m_timeout, reading<commit_result>(std::move(done)));
        },
    };
}

vm_list_port make_http_vm_list(const http_platform_options& options)
{
    // The list is long and changes a few hundred times a day: an unchanged one isn't sent again.
    const auto last_tag = std::make_shared<std::string>();
    return {.m_list = [options, last_tag](const vm_list_done& done)
            {
                http_request request{.m_path = "/vms"};
                if (!last_tag->empty())
                    request.m_headers.push_back({"If-None-Match", *last_tag});
                options.m_transport.m_send(options.m_address, std::move(request), options.m_timeout,
                                           [last_tag, done](outcome<http_response> answer)
                                           { done(read_vm_list(std::move(answer), *last_tag)); });
            }};
}

worker_port make_http_workers(const http_platform_options& options)
{
    return {
        .m_start =
            [options](const worker& to, const start_task& what, start_done done)
        {
            options.m_transport.m_send(to.m_address, json_post("/tasks/start", what),
                                       options.m_timeout, reading<task_report>(std::move(done)));
        },
        .m_renew = [renewer = std::make_shared<lease_renewer>(options)](
                       const worker& to, const renew_leases& what, const renew_done& done)
        { renewer->renew(to, what, done); },
        .m_stop =
            [options](const worker& to, std::uint64_t epoch, const task_id& task, start_done done)
        {
            const nlohmann::json body{{"epoch", epoch}, {"task", task.m_value}};
            options.m_transport.m_send(to.m_address, json_post("/tasks/stop", body),
                                       options.m_timeout, reading<task_report>(std::move(done)));
        },
    };
}

} // namespace dragonflygap::platform
