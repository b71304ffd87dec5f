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

// Enough for the prefixes that are polled; scans of other prefixes are evicted again.
constexpr std::size_t max_cached_scans = 8;

// Parses the body of a 200 response as T; anything else becomes a failure.
template <class T>
outcome<T> parse_response(outcome<http_response> answer)
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
http_transport::done parsing_handler(Done done)
{
    return [done = std::move(done)](outcome<http_response> answer)
    { done(parse_response<T>(std::move(answer))); };
}

constexpr int not_modified = 304;

/// Caches responses by ETag, as the data changes seldom: unchanged data isn't sent again.
template <class T>
class conditional_reader
{
public:
    /// The value, and whether it has changed since the last read of this path and query.
    struct read_result
    {
        std::shared_ptr<const T> m_value;
        bool m_changed = false;
    };
    using done = std::function<void(outcome<read_result>)>;

    conditional_reader(http_platform_options options, std::size_t max_cached)
        : m_options(std::move(options)), m_max_cached(max_cached)
    {
    }

    void read(http_request request, const done& on_done)
    {
        const auto name = request.m_path + "?" + request.m_query;
        const auto found = m_cached.find(name);
        const auto cached = found == m_cached.end() ? cached_value{} : found->second;
        if (cached.m_value != nullptr)
            request.m_headers.push_back({"If-None-Match", cached.m_tag});
        m_options.m_transport.m_send(
            m_options.m_address, std::move(request), m_options.m_timeout,
            [this, name, cached, on_done](outcome<http_response> answer)
            {
                if (answer && answer->m_status == not_modified && cached.m_value != nullptr)
                    return on_done(read_result{cached.m_value, false});
                const std::string tag(answer ? answer->header("ETag") : "");
                auto value = parse_response<T>(std::move(answer));
                if (!value)
                    return on_done(tl::make_unexpected(value.error()));
                const cached_value fresh{tag, std::make_shared<const T>(std::move(*value))};
                cache(name, fresh);
                on_done(read_result{fresh.m_value, true});
            });
    }

private:
    struct cached_value
    {
        std::string m_tag;
        std::shared_ptr<const T> m_value;
    };

    void cache(const std::string& name, const cached_value& fresh)
    {
        if (m_cached.size() > m_max_cached)
            m_cached.clear();
        if (!fresh.m_tag.empty())
            m_cached[name] = fresh;
    }

    http_platform_options m_options;
    std::size_t m_max_cached;
    std::map<std::string, cached_value> m_cached;
};

// The platform's answer to a commit omits the written values.
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
                                   auto result = parse_response<commit_result>(std::move(answer));
                                   if (result && result->m_committed)
                                       fill_values(writes, *result);
                                   done(std::move(result));
                               });
}

/// Renews leases on workers, whose answers hold only the changed reports.
class lease_renewer
{
public:
    explicit lease_renewer(http_platform_options options) : m_options(std::move(options)) {}

    void renew(const worker& to, const renew_leases& request, const renew_done& done)
    {
        if (!m_cache.begin_renewal(to.m_id))
            return done(
                fail(verdict::not_run, reason::timeout, "a renewal for this worker is in flight"));
        send(to, request, done);
    }

private:
    void send(const worker& to, const renew_leases& request, const renew_done& done)
    {
        nlohmann::json body = request;
        body["cursor"] = m_cache.cursor(to.m_id, request.m_epoch);
        m_options.m_transport.m_send(to.m_address, json_post("/tasks/renew", body),
                                     m_options.m_timeout,
                                     [this, to, request, done](outcome<http_response> answer)
                                     { on_answer(to, request, done, std::move(answer)); });
    }

    void on_answer(const worker& to, const renew_leases& request, const renew_done& done,
                   outcome<http_response> answer)
    {
        const auto read = parse_response<renewal>(std::move(answer));
        const auto reports = read ? m_cache.apply(to.m_id, request, *read) : std::nullopt;
        if (read && !reports && !read->m_complete)
            return send(to, request, done);
        m_cache.end_renewal(to.m_id);
        if (reports)
            return done(*reports);
        m_cache.forget(to.m_id);
        if (!read)
            return done(tl::make_unexpected(read.error()));
        done(fail(verdict::may_have_run, reason::internal,
                  "the worker's reports don't match its task count"));
    }

    http_platform_options m_options;
    report_cache m_cache;
};

} // namespace

table_port make_http_table(const http_platform_options& options)
{
    return {
        .m_scan =
            [reader = std::make_shared<conditional_reader<rows>>(options, max_cached_scans)](
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
            [options](const worker& to, const start_task& request, start_done done)
        {
            options.m_transport.m_send(to.m_address, json_post("/tasks/start", request),
                                       options.m_timeout,
                                       parsing_handler<task_report>(std::move(done)));
        },
        .m_renew = [renewer = std::make_shared<lease_renewer>(options)](
                       const worker& to, const renew_leases& request, const renew_done& done)
        { renewer->renew(to, request, done); },
        .m_stop =
            [options](const worker& to, std::uint64_t epoch, const task_id& task, start_done done)
        {
            const nlohmann::json body{{"epoch", epoch}, {"task", task.m_value}};
            options.m_transport.m_send(to.m_address, json_post("/tasks/stop", body),
                                       options.m_timeout,
                                       parsing_handler<task_report>(std::move(done)));
        },
    };
}

} // namespace dragonflygap::platform
