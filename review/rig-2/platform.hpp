// Stand-ins for the platform's store and for executors, as PROTOCOL.md describes them.
#pragma once

#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <tuple>

#include <nlohmann/json.hpp>

#include "wire.hpp"

namespace rig
{

using nlohmann::json;

/// What was sent, answered and run, with the milliseconds since the start.
class record
{
public:
    explicit record(const std::string& path) : m_file(path), m_start(clock::now()) {}

    long now() const { return std::chrono::duration_cast<ms>(clock::now() - m_start).count(); }

    void say(const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        m_file << now() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    clock::time_point m_start;
};

inline std::string base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                group * 256 + (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j <= text.size() || j < 2 ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
    return result;
}

inline std::string parameter(const request& asked, const std::string& name)
{
    const auto query = "&" + asked.m_query;
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 2;
    const auto text = query.substr(begin, query.find('&', begin) - begin);
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size())
        {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            result += text[i];
    return result;
}

/// The platform's store: 4 ms an answer, 5 ms a transaction, one after another.
class store
{
public:
    explicit store(int port)
        : m_server(port,
                   [this](const request& asked, response& answer) { return handle(asked, answer); })
    {
    }
    ~store()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_ending = true;
        }
        m_changed.notify_all();
    }

    int port() const { return m_server.port(); }

    /// What the operator and the executors write.
    void put(const std::string& table, const std::string& key, const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        write({table, "", key}, base64(text), ++m_version);
        m_changed.notify_all();
    }

    void drop(const std::string& table, const std::string& key)
    {
        const std::scoped_lock lock(m_mutex);
        m_rows.erase({table, "", key});
        m_changes.push_back({{table, "", key}, "", ++m_version, true});
        m_changed.notify_all();
    }

private:
    using name = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };
    struct change
    {
        name m_name;
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_deleted = false;
    };

    static json encode(const name& key, const std::string& value, std::uint64_t version)
    {
        return {{"table", std::get<0>(key)},
                {"part", std::get<1>(key)},
                {"key", std::get<2>(key)},
                {"value", value},
                {"schema_version", version}};
    }

    void write(const name& key, const std::string& value, std::uint64_t version)
    {
        m_rows[key] = {value, version};
        m_changes.push_back({key, value, version, false});
    }

    std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<ms>(clock::now().time_since_epoch()).count();
    }

    json stamp() const { return {{"schema_version", m_version}, {"now_ms", now_ms()}}; }

    bool handle(const request& asked, response& answer)
    {
        nap(2);
        if (asked.m_path == "/rows-tx")
            transact(json::parse(asked.m_body), answer);
        else if (asked.m_path == "/rows-get")
            get(asked, answer);
        else if (asked.m_path == "/rows-feed")
            feed(asked, answer);
        else
            answer = {404, "{}", ""};
        nap(2);
        return true;
    }

    void transact(const json& change, response& answer)
    {
        const std::scoped_lock order(m_part); // one part, one transaction after another
        nap(5);
        const std::scoped_lock lock(m_mutex);
        const auto name_of = [](const json& one)
        {
            return name{one.at("table").get<std::string>(), one.value("part", std::string()),
                        one.at("key").get<std::string>()};
        };
        bool holds = true;
        json rows = json::array();
        for (const auto& condition : change.value("precondition", json::array()))
        {
            const auto key = name_of(condition);
            const auto found = m_rows.find(key);
            const bool there = found != m_rows.end();
            holds = holds && (there ? found->second.m_version : 0) ==
                                 condition.at("schema_version").get<std::uint64_t>();
            if (there)
                rows.push_back(encode(key, found->second.m_value, found->second.m_version));
        }
        json body = stamp();
        if (!holds)
        {
            body["rows"] = rows;
            answer = {412, body.dump(), ""};
            return;
        }
        ++m_version;
        for (const auto& one : change.value("writes", json::array()))
            write(name_of(one), one.at("value").get<std::string>(), m_version);
        for (const auto& one : change.value("deletes", json::array()))
            if (m_rows.erase(name_of(one)) != 0)
                m_changes.push_back({name_of(one), "", m_version, true});
        m_changed.notify_all();
        answer = {200, stamp().dump(), ""};
    }

    void get(const request& asked, response& answer)
    {
        const std::scoped_lock lock(m_mutex);
        const auto limit_text = parameter(asked, "limit");
        const std::size_t limit = limit_text.empty() ? 500 : std::stoul(limit_text);
        const auto table = parameter(asked, "table");
        const auto part = parameter(asked, "part");
        const auto target = parameter(asked, "target");
        json body = stamp();
        body["rows"] = json::array();
        body["has_more"] = false;
        for (auto entry = m_rows.lower_bound({table, part, parameter(asked, "from")});
             entry != m_rows.end() && std::get<0>(entry->first) == table &&
             std::get<1>(entry->first) == part &&
             (target.empty() || std::get<2>(entry->first) < target);
             ++entry)
        {
            if (body["rows"].size() >= limit)
            {
                body["has_more"] = true;
                break;
            }
            body["rows"].push_back(
                encode(entry->first, entry->second.m_value, entry->second.m_version));
        }
        answer = {200, body.dump(), ""};
    }

    void feed(const request& asked, response& answer)
    {
        const auto table = parameter(asked, "table");
        const auto after = std::stoull(parameter(asked, "depends_on"));
        const auto until = clock::now() + ms(std::stol("0" + parameter(asked, "wait_ms")));
        std::unique_lock lock(m_mutex);
        json rows = json::array();
        for (;;)
        {
            const auto first = std::upper_bound(m_changes.begin(), m_changes.end(), after,
                                                [](std::uint64_t version, const change& one)
                                                { return version < one.m_version; });
            for (auto one = first; one != m_changes.end(); ++one)
                if (std::get<0>(one->m_name) == table)
                {
                    rows.push_back(encode(one->m_name, one->m_value, one->m_version));
                    if (one->m_deleted)
                        rows.back()["deleted"] = true;
                }
            if (!rows.empty() || m_ending ||
                m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        json body = stamp();
        body["rows"] = rows;
        answer = {200, body.dump(), ""};
    }

    std::mutex m_part;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_ending = false;
    std::uint64_t m_version = 0;
    std::map<name, row> m_rows;
    std::vector<change> m_changes;
    server m_server;
};

/// What the executors have seen, for the check.
class witness
{
public:
    struct run
    {
        std::string m_executor;
        std::string m_task;
        std::uint64_t m_number = 0;
        long m_begin = 0;
        long m_end = -1; ///< -1: it runs.
        std::string m_how;
        long m_noted = -1;    ///< When last_seen reached its end.
        long m_stopping = -1; ///< When it was told to stop.
    };

    explicit witness(record& notes) : m_notes(notes) {}

    std::size_t begin(const std::string& executor, const std::string& task, std::uint64_t number)
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.push_back({executor, task, number, m_notes.now(), -1, "", -1, -1});
        m_notes.say("run " + executor + " starts " + task + " run " + std::to_string(number));
        return m_runs.size() - 1;
    }

    void end(std::size_t run, const std::string& how)
    {
        const std::scoped_lock lock(m_mutex);
        auto& ended = m_runs.at(run);
        ended.m_end = m_notes.now();
        ended.m_how = how;
        m_notes.say("run " + ended.m_executor + " ends " + ended.m_task + " run " +
                    std::to_string(ended.m_number) + " " + how);
    }

    /// last_seen has reached the end of the run. That doesn't count if the executor's lease lapsed
    /// between the two.
    void noted(std::size_t run)
    {
        const std::scoped_lock lock(m_mutex);
        auto& ended = m_runs.at(run);
        const auto lapse = m_lapses.lower_bound({ended.m_executor, ended.m_end});
        if (lapse == m_lapses.end() || lapse->first != ended.m_executor)
            ended.m_noted = m_notes.now();
    }

    /// The lease of an executor is over.
    void lapsed(const std::string& executor)
    {
        const std::scoped_lock lock(m_mutex);
        m_lapses.emplace(executor, m_notes.now());
    }

    /// The executor was told to stop the run.
    void stopping(std::size_t run)
    {
        const std::scoped_lock lock(m_mutex);
        m_runs.at(run).m_stopping = m_notes.now();
    }

    std::vector<run> runs()
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    record& m_notes;
    std::vector<run> m_runs;
    std::set<std::pair<std::string, long>> m_lapses;
};

/// How long a run of a task that lasts works until it fails: exponential, the same in each play.
inline std::int64_t life_of(const std::string& task, std::uint64_t run, double mean_ms)
{
    std::uint64_t seed = 14695981039346656037ULL; // FNV-1a
    for (const char c : task + "/" + std::to_string(run))
        seed = (seed ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    std::mt19937_64 random(seed);
    constexpr double shortest_ms = 500;
    const double uniform = std::generate_canonical<double, 53>(random);
    return static_cast<std::int64_t>(shortest_ms - (mean_ms - shortest_ms) * std::log1p(-uniform));
}

/// One executor: 16 cores, 32 GB, rejects no overload. The specification gives the milliseconds of
/// work of a task in each step, with commas between. "lasts" has a task run on until it is stopped,
/// "fails MS" until it fails by its own fault, after that time on average.
class executor
{
public:
    struct place
    {
        std::string m_id;
        std::string m_service;
        std::string m_rack;
        int m_port = 0;
        std::string m_kind = "a";
    };

    executor(place where, store& platform, record& notes, witness& seen)
        : m_place(std::move(where)),
          m_store(platform),
          m_notes(notes),
          m_witness(seen),
          m_server(m_place.m_port,
                   [this](const request& asked, response& answer) { return handle(asked, answer); })
    {
        begin_life();
        m_worker = std::thread([this] { work(); });
    }
    ~executor()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_ending = true;
        }
        m_event.notify_all();
        m_worker.join();
    }
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;

    const std::string& id() const { return m_place.m_id; }

    /// The process ends and starts again at once after a while, under its identifier.
    void restart(int down_ms)
    {
        m_notes.say("fault " + id() + " crashes");
        {
            const std::scoped_lock lock(m_mutex);
            m_up = false;
            for (const auto& [task, running] : m_running)
                m_witness.end(running.m_witness, "crashed");
            m_running.clear();
            m_ends.clear();
            m_closed.clear();
        }
        m_event.notify_all();
        m_server.down();
        nap(down_ms);
        begin_life();
        m_server.up();
        m_notes.say("fault " + id() + " is up again under its identifier");
    }

    /// It says that it drains, and leaves 2.5 s later: what runs there ends.
    void leave()
    {
        m_notes.say("fault " + id() + " drains");
        {
            const std::scoped_lock lock(m_mutex);
            m_draining = true;
            m_next_beat = 0;
        }
        m_event.notify_all();
        nap(leave_after_ms + 500);
        {
            const std::scoped_lock lock(m_mutex);
            m_up = false;
            for (const auto& [task, running] : m_running)
                m_witness.end(running.m_witness, "left");
            m_running.clear();
        }
        m_event.notify_all();
        m_server.down();
        m_store.drop("servers", id());
        m_notes.say("fault " + id() + " has left");
    }

    std::size_t running()
    {
        const std::scoped_lock lock(m_mutex);
        return m_running.size();
    }

    /// Since they were taken before.
    int starts()
    {
        const std::scoped_lock lock(m_mutex);
        return m_starts;
    }
    int take_starts()
    {
        const std::scoped_lock lock(m_mutex);
        return std::exchange(m_starts, 0);
    }

private:
    struct running_task
    {
        std::uint64_t m_run = 0;
        std::int64_t m_begin = 0;
        std::int64_t m_length = 0;
        bool m_lasts = false;
        std::int64_t m_stopped_at = -1; ///< When the stop is through; -1: not being stopped.
        std::size_t m_witness = 0;
    };
    struct end
    {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
        std::size_t m_witness = 0;
    };

    static constexpr int leave_after_ms = 2000; // drain_ms
    static constexpr std::int64_t max_hold_ms = 10000;
    static constexpr std::int64_t stop_ms = 100; // at most 400 by the page
    static constexpr double one_way_ms = 1.4;

    void begin_life()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_up = true;
            m_start = clock::now();
            m_born =
                std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
            m_token = 0;
            m_deadline = 0;
            m_held = false;
            m_last_end = 0;
            m_sequence = 0;
            m_next_beat = 0;
        }
        m_event.notify_all();
    }

    std::int64_t now() const
    {
        return std::chrono::duration_cast<ms>(clock::now() - m_start).count();
    }

    void beat()
    {
        const json entry{{"service", m_place.m_service},
                         {"address", "127.0.0.1:" + std::to_string(m_place.m_port)},
                         {"zone", "zone-a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", m_draining ? "draining" : "ready"},
                         {"cold_remaining_ms", 0},
                         {"capacity", {{"cpu", 16000}, {"requested_memory_mb", 32768}, {"gpu", 0}}},
                         {"labels", {m_place.m_kind, m_place.m_rack}},
                         {"clock_ms", now()},
                         {"born", m_born},
                         {"sequence", ++m_sequence}};
        auto told = entry;
        if (m_draining)
            told["remaining_ms"] = leave_after_ms;
        m_store.put("servers", m_place.m_id, told.dump());
    }

    void finish(const std::string& task, const std::string& how)
    {
        const auto ended = m_running.at(task);
        m_running.erase(task);
        m_closed[task] = std::max(m_closed[task], ended.m_run);
        m_ends.push_back({++m_last_end, task, ended.m_run, how, ended.m_witness});
        m_witness.end(ended.m_witness, how);
        m_event.notify_all();
    }

    // Work, leases and the entry in the store.
    void work()
    {
        constexpr std::int64_t beat_interval = 1500;
        std::unique_lock lock(m_mutex);
        while (!m_ending)
        {
            m_event.wait_for(lock, ms(2));
            if (!m_up)
                continue;
            if (now() >= m_next_beat)
            {
                m_next_beat = now() + beat_interval;
                beat();
            }
            const bool lapsed = now() >= m_deadline;
            if (lapsed && std::exchange(m_held, false))
                m_witness.lapsed(id());
            std::vector<std::pair<std::string, std::string>> ended;
            for (const auto& [task, one] : m_running)
                if (one.m_stopped_at >= 0 && now() >= one.m_stopped_at)
                    ended.emplace_back(task, "stopped");
                else if (one.m_stopped_at < 0 && now() >= one.m_begin + one.m_length)
                    ended.emplace_back(task, one.m_lasts ? "failed" : "done");
                else if (lapsed)
                    ended.emplace_back(task, "lapsed");
            for (const auto& [task, how] : ended)
                finish(task, how);
        }
    }

    bool handle(const request& asked, response& answer)
    {
        nap(one_way_ms);
        {
            std::unique_lock lock(m_mutex);
            if (!m_up)
                return false;
            const auto body = json::parse(asked.m_body.empty() ? "{}" : asked.m_body);
            const auto born = m_born;
            answer = execute(asked, body, lock);
            if (!m_up || m_born != born)
                return false;
        }
        nap(one_way_ms);
        return true;
    }

    response refused(const char* reason) const
    {
        return {409, json{{"clock_ms", now()}, {"reason", reason}}.dump(), ""};
    }

    response execute(const request& asked, const json& body, std::unique_lock<std::mutex>& lock)
    {
        if (const auto wanted = asked.m_headers.find("x-expected-instance");
            wanted != asked.m_headers.end() && wanted->second != m_place.m_id)
            return {421, "{}", ""};
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < m_token)
            return refused("fence");
        m_token = token;
        if (asked.m_path == "/run-start")
            return start(body);
        if (asked.m_path == "/run-stop")
            return stop(body);
        if (asked.m_path == "/hold")
            return hold(body, lock);
        return {200, json{{"clock_ms", now()}}.dump(), ""};
    }

    void extend(const json& body)
    {
        if (body.contains("deadline_ms"))
            m_deadline = std::max(
                m_deadline, std::min(body["deadline_ms"].get<std::int64_t>(), now() + max_hold_ms));
        m_held = m_deadline > now();
    }

    response start(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second.m_run == run)
            return {200, json{{"clock_ms", now()}}.dump(), ""};
        if (body.value("deadline_ms", std::int64_t{0}) <= now())
            return refused("late");
        extend(body);
        if (found != m_running.end() || (m_closed.count(task) != 0 && run <= m_closed[task]))
            return refused("old");
        const auto works = body.at("specification").get<std::string>();
        const bool fails = works.rfind("fails ", 0) == 0;
        const bool lasts = fails || works == "lasts";
        std::int64_t length = std::numeric_limits<std::int64_t>::max() / 2;
        if (fails)
            length = life_of(task, run, std::stod(works.substr(6)));
        else if (!lasts)
            length = work_of(task, works);
        m_running[task] = {run, now(), length, lasts, -1, m_witness.begin(id(), task, run)};
        ++m_starts;
        return {200, json{{"clock_ms", now()}}.dump(), ""};
    }

    static std::int64_t work_of(const std::string& task, std::string works)
    {
        std::int64_t length = 0;
        const auto last = task.rfind('.');
        const auto before = task.rfind('.', last - 1);
        for (int step = std::stoi(task.substr(before + 1)); step >= 0; --step)
        {
            length = std::stol(works);
            works.erase(0, std::min(works.size(), works.find(',')));
            works.erase(0, 1);
            if (works.empty())
                break;
        }
        return length;
    }

    response stop(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint64_t>();
        m_closed[task] = std::max(m_closed[task], run);
        if (const auto found = m_running.find(task); found != m_running.end() &&
                                                     found->second.m_run <= run &&
                                                     found->second.m_stopped_at < 0)
        {
            found->second.m_stopped_at = now() + stop_ms;
            m_witness.stopping(found->second.m_witness);
            m_notes.say("stop " + id() + " stops " + task + " run " + std::to_string(run));
        }
        return {200, json{{"clock_ms", now()}}.dump(), ""};
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto born = m_born;
        extend(body);
        const auto last_seen = body.value("last_seen", std::uint64_t{0});
        for (const auto& one : m_ends)
            if (one.m_number <= last_seen)
                m_witness.noted(one.m_witness);
        std::erase_if(m_ends, [last_seen](const end& one) { return one.m_number <= last_seen; });
        const auto until =
            clock::now() + ms(std::min<std::int64_t>(2000, body.value("wait_ms", 0)));
        while (m_ends.empty() && m_up && m_born == born && !m_ending &&
               m_event.wait_until(lock, until) != std::cv_status::timeout)
        {
        }
        json running = json::array();
        for (const auto& [task, one] : m_running)
            running.push_back({task, one.m_run, "",
                               one.m_lasts ? 100
                                           : std::min<std::int64_t>(
                                                 100, 100 * (now() - one.m_begin) /
                                                          std::max<std::int64_t>(1, one.m_length)),
                               100});
        json finished = json::array();
        for (const auto& one : m_ends)
            if (finished.size() < 500)
                finished.push_back({one.m_number, one.m_task, one.m_run, one.m_how, ""});
        return {
            200,
            json{
                {"clock_ms", now()}, {"born", m_born}, {"running", running}, {"finished", finished}}
                .dump(),
            ""};
    }

    place m_place;
    store& m_store;
    record& m_notes;
    witness& m_witness;
    std::mutex m_mutex;
    std::condition_variable m_event;
    bool m_up = false;
    bool m_draining = false;
    bool m_ending = false;
    clock::time_point m_start;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0;
    bool m_held = false; ///< The lease has begun and isn't over.
    std::uint64_t m_last_end = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_next_beat = 0;
    int m_starts = 0;
    std::map<std::string, running_task> m_running;
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<end> m_ends;
    server m_server;
    std::thread m_worker;
};

} // namespace rig
