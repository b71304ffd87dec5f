#include "dragonflygap/platform/http_platform.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"
#include "dragonflygap/platform/report_cache.hpp"

namespace dragonflygap::platform
{

namespace
{

using rows = std::vector<row>;
using workers = std::vector<worker>;

// Prefixes that are polled; scans of others take their places and lose them again.
constexpr std::size_t max_kept_scans = 8;

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

constexpr int not_modified = 304;

/// Reads things that change seldom: an answer that the platform has given already isn't sent again.
template <class T>
class conditional_reader
{
public:
    /// What was read, and whether it is the same as at the last read of this path and query.
    struct reading_result
    {
        std::shared_ptr<const T> m_value;
        bool m_changed = false;
    };
    using done = std::function<void(outcome<reading_result>)>;

    conditional_reader(http_platform_options options, std::size_t max_kept)
        : m_options(std::move(options)), m_max_kept(max_kept)
    {
    }

    void read(http_request request, const done& on_done)
    {
        const auto name = request.m_path + "?" + request.m_query;
        const auto found = m_kept.find(name);
        const auto known = found == m_kept.end() ? kept_value{} : found->second;
        if (known.m_value != nullptr)
            request.m_headers.push_back({"If-None-Match", known.m_tag});
        m_options.m_transport.m_send(
            m_options.m_address, std::move(request), m_options.m_timeout,
            [this, name, known, on_done](outcome<http_response> answer)
            {
                if (answer && answer->m_status == not_modified && known.m_value != nullptr)
                    return on_done(reading_result{known.m_value, false});
                const std::string tag(answer ? answer->header("ETag") : "");
                auto value = read_answer<T>(std::move(answer));
                if (!value)
                    return on_done(tl::make_unexpected(value.error()));
                const kept_value fresh{tag, std::make_shared<const T>(std::move(*value))};
                keep(name, fresh);
                on_done(reading_result{fresh.m_value, true});
            });
    }

private:
    struct kept_value
    {
        std::string m_tag;
        std::shared_ptr<const T> m_value;
    };

    void keep(const std::string& name, const kept_value& fresh)
    {
        if (m_kept.size() > m_max_kept)
            m_kept.clear();
        if (!fresh.m_tag.empty())
            m_kept[name] = fresh;
    }

    http_platform_options m_options;
    std::size_t m_max_kept;
    std::map<std::string, kept_value> m_kept;
};

// The platform doesn't send back the values that it was sent.
void fill_values(const std::vector<row_write>& writes, commit_result& result)
{
    for (auto& written : result.m_rows)
    {
        const auto found = std::ranges::find(writes, written.m_key, &row_write::m_key);
        if (found != writes.end())
            written.m_value = found->m_value.value_or("");
    }
}

void commit(const http_platform_options& options, const std::vector<row_write>& writes,
            const commit_done& done)
{
    options.m_transport.m_send(options.m_address, json_post("/table/commit", writes),
                               options.m_timeout,
                               [writes, done](outcome<http_response> answer)
                               {
                                   auto result = read_answer<commit_result>(std::move(answer));
                                   if (result && result->m_committed)
                                       fill_values(writes, *result);
                                   done(std::move(result));
                               });
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
            [reader = std::make_shared<conditional_reader<rows>>(options, max_kept_scans)](
                const std::string& prefix, const read_done& done)
        {
            reader->read({.m_path = "/table", .m_query = "prefix=" + prefix},
                         [done](const auto& read)
                         { done(read.map([](const auto& result) { return *result.m_value; })); });
        },
        .m_commit = [options](const std::vector<row_write>& writes, const commit_done& done)
        { commit(options, writes, done); },
    };
}

vm_list_port make_http_vm_list(const http_platform_options& options)
{
    return {.m_list = [reader = std::make_shared<conditional_reader<workers>>(options, 1)](
                          const vm_list_done& done)
            {
                reader->read({.m_path = "/vms"},
                             [done](const auto& read)
                             {
                                 done(read.map(
                                     [](const auto& result) {
                                         return result.m_changed ? std::optional(*result.m_value)
                                                                 : std::nullopt;
                                     }));
                             });
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
