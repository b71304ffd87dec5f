#pragma once

#include <algorithm>
#include <deque>
#include <fstream>
#include <optional>
#include <shared_mutex>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

/// Stand-ins for the platform's store and for executors, as PROTOCOL.md describes them.
namespace rig
{

using nlohmann::json;

/// record.txt: what was sent, answered and run, with the seconds since the start.
class record
{
public:
    explicit record(const std::string& path) : m_file(path), m_start_ms(now_ms()) {}

    void line(const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ",
                      static_cast<double>(now_ms() - m_start_ms) / 1000);
        m_file << time << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start_ms;
};

inline json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

inline std::string to_base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return result;
}

/// The number of bytes that a base64 text stands for.
inline std::size_t decoded_size(const std::string& text)
{
    const auto padding = text.size() - (text.find_last_not_of('=') + 1);
    return text.size() / 4 * 3 - padding;
}

/// The table store. A transaction takes 5 ms and a value has at most 65,536 bytes.
class store
{
public:
    explicit store(record& log)
        : m_record(log), m_server(free_port(), [this](const request& r) { return handle(r); })
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    void put(const std::string& table, const std::string& key, const json& value)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_version;
        set({table, "", key}, to_base64(value.dump()), false);
        m_changed.notify_all();
    }

    std::size_t largest_refused() const { return m_largest_refused; }
    int refused() const { return m_refused; }

private:
    using name = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_deleted = false;
        std::string m_text; ///< As it stands in answers, so that a read takes no time to encode.
    };

    void set(const name& key, std::string value, bool deleted)
    {
        row changed{std::move(value), m_version, deleted, ""};
        changed.m_text = encode(key, changed).dump();
        m_rows[key] = std::move(changed);
    }

    static name name_of(const json& entry)
    {
        return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
    }

    static json encode(const name& key, const row& found)
    {
        json result{{"table", std::get<0>(key)},
                    {"part", std::get<1>(key)},
                    {"key", std::get<2>(key)},
                    {"schema_version", found.m_version}};
        if (found.m_deleted)
            result["deleted"] = true;
        else
            result["value"] = found.m_value;
        return result;
    }

    response answer(int status, json body) const
    {
        body["schema_version"] = m_version;
        body["now_ms"] = now_ms();
        return {.m_status = status, .m_body = body.dump()};
    }

    response handle(const request& asked)
    {
        if (asked.m_path == "/rows-tx")
        {
            sleep_ms(5);
            return transact(parse(asked.m_body));
        }
        if (asked.m_path == "/rows-get")
        {
            sleep_ms(4);
            return get(asked);
        }
        if (asked.m_path == "/rows-feed")
            return feed(asked);
        return {.m_status = 404};
    }

    response transact(const json& change)
    {
        constexpr std::size_t row_bytes = 65536;
        const std::scoped_lock lock(m_mutex);
        for (const auto& write : change.at("writes"))
        {
            const auto size = decoded_size(write.at("value").get<std::string>());
            if (size <= row_bytes)
                continue;
            if (m_refused++ == 0)
                m_record.line("store: refused a row of " + std::to_string(size) + " bytes, " +
                              write.at("table").get<std::string>() + "/" +
                              write.at("key").get<std::string>() + " (row_bytes is 65536)");
            m_largest_refused = std::max<std::size_t>(m_largest_refused, size);
            return {.m_status = 400};
        }
        json conflicts = json::array();
        bool failed = false;
        for (const auto& condition : change.at("precondition"))
        {
            const auto key = name_of(condition);
            const auto found = m_rows.find(key);
            const bool exists = found != m_rows.end() && !found->second.m_deleted;
            const auto version = exists ? found->second.m_version : 0;
            failed = failed || version != condition.at("schema_version").get<std::uint64_t>();
            if (exists)
                conflicts.push_back(encode(key, found->second));
        }
        if (failed)
            return answer(412, {{"rows", conflicts}});
        ++m_version;
        for (const auto& write : change.at("writes"))
            set(name_of(write), write.at("value").get<std::string>(), false);
        for (const auto& gone : change.at("deletes"))
            if (const auto found = m_rows.find(name_of(gone)); found != m_rows.end())
                set(found->first, "", true);
        m_changed.notify_all();
        return answer(200, json::object());
    }

    static std::string parameter(const request& asked, const std::string& key)
    {
        const auto found = asked.m_query.find(key);
        return found == asked.m_query.end() ? "" : found->second;
    }

    response rows_answer(std::string rows, const char* more) const
    {
        return {.m_status = 200,
                .m_body = "{\"rows\":[" + std::move(rows) + "]" + more +
                          ",\"schema_version\":" + std::to_string(m_version) +
                          ",\"now_ms\":" + std::to_string(now_ms()) + "}"};
    }

    response get(const request& asked)
    {
        constexpr std::size_t page_bytes = 1000000;
        const std::shared_lock lock(m_mutex);
        const auto table = parameter(asked, "table");
        const auto part = parameter(asked, "part");
        const auto to = parameter(asked, "target");
        const auto limit = parameter(asked, "limit");
        const std::size_t page = limit.empty() ? 500 : std::min(500UL, std::stoul(limit));
        std::string rows;
        std::size_t count = 0;
        bool more = false;
        for (auto at = m_rows.lower_bound({table, part, parameter(asked, "from")});
             at != m_rows.end(); ++at)
        {
            const auto& [row_table, row_part, key] = at->first;
            if (row_table != table || row_part != part || (!to.empty() && key >= to))
                break;
            if (at->second.m_deleted)
                continue;
            more =
                count == page || (count > 0 && rows.size() + at->second.m_text.size() > page_bytes);
            if (more)
                break;
            rows += (count++ == 0 ? "" : ",") + at->second.m_text;
        }
        return rows_answer(std::move(rows), more ? ",\"has_more\":true" : ",\"has_more\":false");
    }

    response feed(const request& asked)
    {
        const auto table = parameter(asked, "table");
        const auto after = std::stoull(parameter(asked, "depends_on"));
        const auto until = steady::now() +
                           std::chrono::milliseconds(std::stoll("0" + parameter(asked, "wait_ms")));
        std::shared_lock lock(m_mutex);
        std::multimap<std::uint64_t, const std::string*> changed;
        while (true)
        {
            for (auto at = m_rows.lower_bound({table, "", ""});
                 at != m_rows.end() && std::get<0>(at->first) == table; ++at)
                if (at->second.m_version > after)
                    changed.emplace(at->second.m_version, &at->second.m_text);
            if (!changed.empty() || steady::now() >= until)
                break;
            m_changed.wait_until(lock, until);
        }
        std::string rows;
        for (const auto& [version, text] : changed)
            rows += (rows.empty() ? "" : ",") + *text;
        return rows_answer(std::move(rows), "");
    }

    record& m_record;
    std::shared_mutex m_mutex;
    std::condition_variable_any m_changed;
    std::map<name, row> m_rows;
    std::uint64_t m_version = 1;
    std::atomic<std::size_t> m_largest_refused = 0;
    std::atomic<int> m_refused = 0;
    server m_server;
};

/// How long a task runs is told by its specification: "MS", with
/// "each hundredth MS" for steps of which some tasks are shorter.
struct gang_state
{
    std::mutex m_mutex;
    int m_present = 0;
    std::int64_t m_complete_ms = 0; ///< When all members were there; 0: not yet.
    bool m_broken = false;          ///< A member ended before its time.
};

struct run_state
{
    std::uint64_t m_run = 0;
    std::int64_t m_begun_ms = 0;
    std::int64_t m_length_ms = 0;
    std::int64_t m_stopping_ms = 0; ///< When a stop takes effect; 0: none.
    std::string m_base;             ///< The checkpoint it was started with.
    std::int64_t m_saved_ms = 0;    ///< Work that this checkpoint holds.
    std::shared_ptr<gang_state> m_gang;
    std::int64_t m_started_ms = 0;
};

/// The gangs of all executors, by step and run.
class gang_list
{
public:
    std::shared_ptr<gang_state> join(const std::string& task, std::uint64_t run, int size)
    {
        const std::scoped_lock lock(m_mutex);
        auto& gang = m_gangs[{task.substr(0, task.rfind('.')), run}];
        if (gang == nullptr)
            gang = std::make_shared<gang_state>();
        const std::scoped_lock members(gang->m_mutex);
        if (++gang->m_present == size && !gang->m_broken)
            gang->m_complete_ms = now_ms();
        return gang;
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::uint64_t>, std::shared_ptr<gang_state>> m_gangs;
};

struct end_state
{
    std::int64_t m_at_ms = 0; ///< By the executor's clock.
    std::uint64_t m_number = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::string m_how;
    std::string m_checkpoint;
};

struct start_seen
{
    std::string m_executor;
    std::string m_task;
    std::uint64_t m_run = 0;
    std::int64_t m_at_ms = 0;
    std::int64_t m_ended_ms = 0;
    std::string m_how;
    bool m_noted = false;     ///< last_seen reached its end.
    std::string m_checkpoint; ///< That the start carried.
};

/// All starts, over all executors.
class run_log
{
public:
    gang_list m_gangs;

    explicit run_log(record& log) : m_record(log) {}

    /// Leaves a job's tasks out of the record, as there are thousands of them.
    void leave_out(const std::string& job) { m_left_out = job; }

    void started(const std::string& executor, const std::string& task, std::uint64_t run,
                 const std::string& checkpoint)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_starts.push_back({executor, task, run, now_ms(), 0, "", false, checkpoint});
        }
        if (recorded(task))
            m_record.line(executor + ": started " + task + " run " + std::to_string(run) +
                          (checkpoint.empty() ? "" : " from " + checkpoint));
    }
    void ended(const std::string& executor, const std::string& task, std::uint64_t run,
               const std::string& how)
    {
        {
            const std::scoped_lock lock(m_mutex);
            for (auto& one : m_starts)
                if (one.m_executor == executor && one.m_task == task && one.m_run == run &&
                    one.m_ended_ms == 0)
                {
                    one.m_ended_ms = now_ms();
                    one.m_how = how;
                }
        }
        if (recorded(task))
            m_record.line(executor + ": " + task + " run " + std::to_string(run) + " ended " + how);
    }
    void noted(const std::string& executor, const std::string& task, std::uint64_t run,
               std::uint64_t last_seen)
    {
        {
            const std::scoped_lock lock(m_mutex);
            for (auto& one : m_starts)
                if (one.m_executor == executor && one.m_task == task && one.m_run == run)
                    one.m_noted = true;
        }
        if (recorded(task))
            m_record.line(executor + ": last_seen " + std::to_string(last_seen) +
                          " covers the end of " + task + " run " + std::to_string(run));
    }
    std::vector<start_seen> all()
    {
        const std::scoped_lock lock(m_mutex);
        return m_starts;
    }

private:
    std::mutex m_mutex;
    std::vector<start_seen> m_starts;
    bool recorded(const std::string& task) const
    {
        return m_left_out.empty() || !task.starts_with(m_left_out);
    }

    record& m_record;
    std::string m_left_out;
};

struct executor_options
{
    std::string m_id;
    std::string m_service = "svc";
    std::string m_zone = "zone-a";
    std::string m_kind = "a";
    std::string m_rack = "r1-1";
    int m_cpu = 16000;
    int m_memory_mb = 32768;
    std::int64_t m_stop_ms = 200;
    std::int64_t m_save_interval_ms = 2000;
};

/// One executor at a port. crash() ends its life; restart() begins another one under the same
/// identifier and address, which knows nothing of before.
class executor
{
public:
    executor(executor_options options, store& platform, record& log, run_log& runs)
        : m_options(std::move(options)),
          m_store(platform),
          m_record(log),
          m_runs(runs),
          m_server(free_port(), [this](const request& r) { return handle(r); }),
          m_ticker([this] { tick(); })
    {
        begin_life();
    }
    ~executor()
    {
        m_ending = true;
        m_ticker.join();
        m_server.stop();
    }
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    const std::string& id() const { return m_options.m_id; }

    void crash()
    {
        m_server.stop();
        const std::scoped_lock lock(m_mutex);
        for (const auto& [task, run] : m_running)
        {
            m_runs.ended(id(), task, run.m_run, "lost");
            break_gang(run);
        }
        m_running.clear();
        m_ends.clear();
        m_closed.clear();
        m_token = m_last_end = 0;
        m_lease_ms = m_lapsed_at_ms = 0;
        ++m_life;
        m_changed.notify_all();
        m_record.line(id() + ": crashed");
    }

    /// Cuts it off from all entry VMs: what arrives until the end isn't carried out, and nothing is
    /// answered. It works on.
    void cut(std::int64_t length_ms)
    {
        m_cut_until_ms = now_ms() + length_ms;
        m_record.line(id() + ": is cut off for " + std::to_string(length_ms) + " ms");
    }

    void restart()
    {
        m_server.start();
        begin_life();
        m_record.line(id() + ": started again under its identifier, its counts begin anew");
    }

    std::size_t running()
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size();
    }
    std::int64_t born()
    {
        const std::scoped_lock lock(m_mutex);
        return m_born;
    }

private:
    void begin_life()
    {
        json entry;
        {
            const std::scoped_lock lock(m_mutex);
            m_born = unix_now_ms();
            m_life_began_ms = now_ms();
            entry = {{"service", m_options.m_service},
                     {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                     {"zone", m_options.m_zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_remaining_ms", 0},
                     {"capacity",
                      {{"cpu", m_options.m_cpu},
                       {"requested_memory_mb", m_options.m_memory_mb},
                       {"gpu", 0}}},
                     {"labels", {m_options.m_kind, m_options.m_rack}},
                     {"born", m_born},
                     {"clock_ms", clock()},
                     {"sequence", 1}};
        }
        m_store.put("servers", id(), entry);
    }

    // Of this life; it begins at a second.
    std::int64_t clock() const { return 1000 + now_ms() - m_life_began_ms; }

    static void break_gang(const run_state& run)
    {
        if (run.m_gang == nullptr)
            return;
        const std::scoped_lock lock(run.m_gang->m_mutex);
        run.m_gang->m_broken = true;
    }

    // Members of a gang work from the moment when all are there.
    static void follow_gang(run_state& run, std::int64_t at)
    {
        if (run.m_gang == nullptr)
            return;
        const std::scoped_lock lock(run.m_gang->m_mutex);
        run.m_begun_ms = run.m_gang->m_complete_ms == 0 ? at : run.m_gang->m_complete_ms;
    }

    static bool is_broken(const run_state& run)
    {
        if (run.m_gang == nullptr)
            return false;
        const std::scoped_lock lock(run.m_gang->m_mutex);
        return run.m_gang->m_broken;
    }

    std::string checkpoint_of(const run_state& run, std::int64_t at, bool stop) const
    {
        const auto worked = at - run.m_begun_ms + run.m_saved_ms;
        const auto saved = stop ? worked
                                : (at - run.m_begun_ms) / m_options.m_save_interval_ms *
                                          m_options.m_save_interval_ms +
                                      run.m_saved_ms;
        if (saved == run.m_saved_ms)
            return run.m_base;
        char text[20];
        std::snprintf(text, sizeof text, "%08llx", static_cast<unsigned long long>(saved));
        return std::string(text, 8) + "7a21d94b"; // as long as the one in PROTOCOL.md
    }

    void finish(const std::string& task, const std::string& how)
    {
        const auto run = m_running.at(task);
        m_running.erase(task);
        if (how != "done")
            break_gang(run);
        m_closed[task] = std::max(m_closed[task], run.m_run);
        const auto saved =
            how == "done" ? std::string() : checkpoint_of(run, now_ms(), how == "stopped");
        m_ends.push_back({clock(), ++m_last_end, task, run.m_run, how, m_saves[task] ? saved : ""});
        m_runs.ended(id(), task, run.m_run, how);
        m_changed.notify_all();
    }

    void tick()
    {
        while (!m_ending)
        {
            sleep_ms(2);
            const std::scoped_lock lock(m_mutex);
            const auto at = now_ms();
            std::vector<std::pair<std::string, std::string>> over;
            for (auto& [task, run] : m_running)
            {
                follow_gang(run, at);
                const bool waits = run.m_gang != nullptr && run.m_begun_ms == at;
                if (clock() > m_lease_ms)
                    over.emplace_back(task, "lapsed");
                else if (is_broken(run))
                    over.emplace_back(task, "broken");
                else if (waits && at - run.m_started_ms >= gang_timeout_ms)
                    over.emplace_back(task, "alone");
                else if (run.m_stopping_ms != 0 && at >= run.m_stopping_ms)
                    over.emplace_back(task, "stopped");
                else if (at - run.m_begun_ms + run.m_saved_ms >= run.m_length_ms)
                    over.emplace_back(task, "done");
            }
            for (const auto& [task, how] : over)
                finish(task, how);
        }
    }

    response refused(const char* reason) const
    {
        return {.m_status = 409, .m_body = json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
    }

    void extend_lease(const json& body)
    {
        constexpr std::int64_t max_hold_ms = 10000;
        if (m_lease_ms < clock())
            m_lapsed_at_ms = std::max(m_lapsed_at_ms, m_lease_ms);
        if (body.contains("deadline_ms"))
            m_lease_ms = std::max(m_lease_ms, std::min(body["deadline_ms"].get<std::int64_t>(),
                                                       clock() + max_hold_ms));
    }

    bool is_cut() const { return now_ms() < m_cut_until_ms; }

    response nothing() const
    {
        while (is_cut() && !m_ending)
            sleep_ms(10);
        return {.m_none = true};
    }

    response handle(const request& asked)
    {
        if (is_cut())
            return nothing();
        const auto answer = carry_out(asked);
        return is_cut() ? nothing() : answer;
    }

    response carry_out(const request& asked)
    {
        const auto body = parse(asked.m_body);
        std::unique_lock lock(m_mutex);
        const auto instance = asked.m_headers.find("x-expected-instance");
        if (instance != asked.m_headers.end() && instance->second != id())
            return {.m_status = 421};
        if (!body.is_object())
            return {.m_status = 400};
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < m_token)
            return refused("fence");
        m_token = token;
        if (asked.m_path == "/hold")
            return hold(body, lock);
        const auto task = body.value("task", "");
        const auto run = body.value("run", std::uint64_t{0});
        if (asked.m_path == "/run-start")
            return start(body, task, run);
        if (asked.m_path == "/run-stop")
        {
            m_closed[task] = std::max(m_closed[task], run);
            const auto found = m_running.find(task);
            if (found != m_running.end() && found->second.m_run <= run &&
                found->second.m_stopping_ms == 0)
                found->second.m_stopping_ms = now_ms() + m_options.m_stop_ms;
            return {.m_body = json{{"clock_ms", clock()}}.dump()};
        }
        return {.m_status = 404};
    }

    static std::int64_t length_of(const std::string& specification, const std::string& task)
    {
        const std::string mark = "each hundredth ";
        const auto at = specification.find(mark);
        const bool hundredth = std::stoull(task.substr(task.rfind('.') + 1)) % 100 == 0;
        return std::stoll(at != std::string::npos && hundredth
                              ? specification.substr(at + mark.size())
                              : specification);
    }

    response start(const json& body, const std::string& task, std::uint64_t run)
    {
        const response accepted{.m_body = json{{"clock_ms", clock()}}.dump()};
        const auto found = m_running.find(task);
        if (found != m_running.end())
            return found->second.m_run == run ? accepted : refused("old");
        if (m_closed.count(task) != 0 && run <= m_closed[task])
        {
            extend_lease(body);
            return refused("old");
        }
        if (body.value("deadline_ms", std::int64_t{0}) <= clock())
            return refused("late");
        extend_lease(body);
        const auto specification = body.value("specification", "");
        const auto saved = body.value("checkpoint", "");
        m_saves[task] = specification.find("saves") != std::string::npos;
        m_running[task] = {.m_run = run,
                           .m_begun_ms = now_ms(),
                           .m_length_ms = length_of(specification, task),
                           .m_base = saved,
                           .m_saved_ms =
                               saved.empty() ? 0 : std::stoll(saved.substr(0, 8), nullptr, 16),
                           .m_started_ms = now_ms()};
        m_runs.started(id(), task, run, saved);
        const std::string mark = "gang of ";
        if (const auto at = specification.find(mark); at != std::string::npos)
            m_running[task].m_gang =
                m_runs.m_gangs.join(task, run, std::stoi(specification.substr(at + mark.size())));
        return accepted;
    }

    void forget(std::uint64_t seen)
    {
        // An end isn't taken note of if the lease lapsed between the two.
        for (const auto& end : m_ends)
        {
            const bool lapsed = m_lapsed_at_ms >= end.m_at_ms ||
                                (m_lease_ms >= end.m_at_ms && m_lease_ms < clock());
            if (end.m_number <= seen && !lapsed)
                m_runs.noted(id(), end.m_task, end.m_run, seen);
        }
        std::erase_if(m_ends, [seen](const end_state& end) { return end.m_number <= seen; });
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        extend_lease(body);
        const auto life = m_life;
        const auto seen = body.value("last_seen", std::uint64_t{0});
        const auto until =
            steady::now() + std::chrono::milliseconds(body.value("wait_ms", std::int64_t{0}));
        // Ends up to last_seen are forgotten, those that come while the call waits too.
        forget(seen);
        while (m_ends.empty() && steady::now() < until && life == m_life && !m_ending)
        {
            m_changed.wait_until(lock, until);
            forget(seen);
        }
        if (life != m_life)
            return {.m_none = true};
        json running = json::array();
        for (const auto& [task, run] : m_running)
        {
            const auto worked = now_ms() - run.m_begun_ms + run.m_saved_ms;
            running.push_back({task, run.m_run,
                               m_saves[task] ? checkpoint_of(run, now_ms(), false) : "",
                               std::min<std::int64_t>(100, 100 * worked / run.m_length_ms), 100});
        }
        json finished = json::array();
        for (const auto& end : m_ends)
        {
            if (finished.size() >= 500)
                break;
            finished.push_back({end.m_number, end.m_task, end.m_run, end.m_how, end.m_checkpoint});
        }
        return {.m_body = json{{"clock_ms", clock()},
                               {"born", m_born},
                               {"running", running},
                               {"finished", finished}}
                              .dump()};
    }

    static constexpr std::int64_t gang_timeout_ms = 3000;

    executor_options m_options;
    store& m_store;
    record& m_record;
    run_log& m_runs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, run_state> m_running;
    std::map<std::string, std::uint64_t> m_closed; ///< Highest run that ended or was stopped.
    std::map<std::string, bool> m_saves;
    std::deque<end_state> m_ends;
    std::uint64_t m_last_end = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_lease_ms = 0;     ///< By this life's clock.
    std::int64_t m_lapsed_at_ms = 0; ///< When an earlier lease ran out.
    std::int64_t m_life_began_ms = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_life = 0;
    std::atomic<bool> m_ending = false;
    std::atomic<std::int64_t> m_cut_until_ms = 0;
    server m_server;
    std::thread m_ticker;
};

} // namespace rig
