#include "node/support/stand_in_worker.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/names.hpp"

namespace stand_in
{

namespace
{

using nlohmann::json;

constexpr std::int64_t longest_lease_ms = 10000;

bool by_chance(std::mt19937_64& random, double share)
{
    return std::uniform_real_distribution<>(0, 1)(random) < share;
}

http_response refused(std::int64_t clock, std::string_view reason)
{
    return json_response(409, json{{"clock_ms", clock}, {"reason", reason}}.dump());
}

} // namespace

void referee::started(const std::string& worker, const std::string& task, std::uint64_t)
{
    ++m_starts[task];
    const auto key = *wire::parse_task_name(task);
    auto& where = m_running[task];
    if (!where.empty())
        violation("twice: " + task + " on " + *where.begin() + " and " + worker);
    if (m_done_known.count(task) != 0)
        violation("again: " + task + " had ended done");
    if (m_rejected.count(key.m_job.m_value) != 0)
        violation("rejected: " + task + " runs");
    if (m_cancelled.count(key.m_job.m_value) != 0)
        violation("cancelled: " + task + " runs");
    const auto* nature = m_nature(key.m_job.m_value, key.m_step);
    if (nature == nullptr)
        return violation("unasked: " + task);
    for (const int step : nature->m_after)
    {
        const auto* before = m_nature(key.m_job.m_value, step);
        for (int i = 0; before != nullptr && i < before->m_gang_size; ++i)
            if (m_done.count(wire::task_name({key.m_job, key.m_occurrence, step, i})) == 0)
                violation("order: " + task + " before step " + std::to_string(step));
    }
    where.insert(worker);
}

void referee::ended(const std::string& worker, const std::string& task, const std::string& how)
{
    m_running[task].erase(worker);
    if (how == "done")
        m_done.insert(task);
}

worker::worker(std::string id, std::mt19937_64& random, referee& watch, later run_later)
    : m_id(std::move(id)),
      m_random(random),
      m_watch(watch),
      m_later(std::move(run_later)),
      m_started(watch.m_now_ms())
{
}

std::string worker::entry(const std::string& service, const std::string& address) const
{
    return json{{"service", service},
                {"address", address},
                {"zone", "a"},
                {"state", m_draining ? "draining" : "ready"},
                {"capacity", {{"cpu", m_cpu}, {"requested_memory_mb", m_memory_mb}, {"gpu", 0}}},
                {"labels", {"a", "r1"}}}
        .dump();
}

void worker::crash(std::string new_id)
{
    const auto lost = std::exchange(m_running, {});
    for (const auto& [task, run] : lost)
    {
        m_watch.ended(m_id, task, "lost");
        leave_gang(task, run.m_number, "lost");
    }
    m_closed_runs.clear();
    m_ends.clear();
    m_last_end = 0;
    m_token = 0;
    m_lease = 0;
    m_started = m_watch.m_now_ms();
    ++m_life;
    m_id = std::move(new_id);
}

void worker::handle(const http_request& request, const reply& done)
{
    if (m_faults.m_dark)
        return;
    if (request.m_path == "/hold")
        return hold(request, m_watch.m_now_ms() + json::parse(request.m_body).value("wait_ms", 0),
                    done);
    if (by_chance(m_random, m_faults.m_unanswered))
    {
        const duration delay = std::chrono::milliseconds(2000 + m_random() % 10000);
        return m_later(delay,
                       [this, request, life = m_life]
                       {
                           if (life == m_life)
                               act(request);
                       });
    }
    done(act(request));
}

http_response worker::act(const http_request& request)
{
    const auto body = json::parse(request.m_body);
    if (request.header("X-Expected-Instance") != m_id)
        return json_response(421, "{}");
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < m_token)
        return refused(clock(), "fence");
    m_token = token;
    if (request.m_path == "/hold")
        return json_response(200, "{}");
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    if (request.m_path == "/run-start")
        return start(task, number, body.value("deadline_ms", std::int64_t{0}));
    m_closed_runs[task] = std::max(m_closed_runs[task], number);
    if (const auto found = m_running.find(task);
        found != m_running.end() && found->second.m_number <= number)
        finish(task, "stopped");
    return json_response(200, json{{"clock_ms", clock()}}.dump());
}

http_response worker::start(const std::string& task, std::uint64_t number, std::int64_t deadline)
{
    const auto key = wire::parse_task_name(task);
    const auto* nature = key ? m_watch.m_nature(key->m_job.m_value, key->m_step) : nullptr;
    if (nature == nullptr)
    {
        m_watch.violation("unasked: " + task);
        return json_response(400, "{}");
    }
    if (const auto found = m_running.find(task);
        found != m_running.end() && found->second.m_number == number)
        return json_response(200, json{{"clock_ms", clock()}}.dump());
    if (m_closed_runs.count(task) != 0 && number <= m_closed_runs[task])
        return refused(clock(), "old");
    if (deadline <= clock())
        return refused(clock(), "late");
    m_watch.started(m_id, task, number);
    m_lease = std::max(m_lease, std::min(deadline, clock() + longest_lease_ms));
    const duration own = nature->m_own_time > duration{} ? nature->m_own_time : nature->m_run_time;
    m_running[task] = {number, clock(), m_faults.m_hangs ? 0 : to_ms(own)};
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    for (const auto& [name, run] : m_running)
    {
        const auto running = *wire::parse_task_name(name);
        if (const auto* used = m_watch.m_nature(running.m_job.m_value, running.m_step))
        {
            cpu += used->m_cpu;
            memory += used->m_memory_mb;
        }
    }
    if (cpu > m_cpu || memory > m_memory_mb)
        m_watch.violation("capacity of " + m_id + ": " + std::to_string(cpu));
    const bool fails = m_faults.m_fails_all || nature->m_always_fails;
    const std::string how = fails ? "failed" : "done";
    if (nature->m_gang && !m_faults.m_hangs)
        join_gang(task, number, *nature, how);
    if (!nature->m_gang && !m_faults.m_hangs)
        m_later(nature->m_run_time, [this, task, number, how, life = m_life]
                { end_if_running(task, number, life, how); });
    m_later(std::chrono::milliseconds(m_lease - clock()),
            [this, life = m_life] { check_lease(life); });
    return json_response(200, json{{"clock_ms", clock()}}.dump());
}

void worker::end_if_running(const std::string& task, std::uint64_t number, std::uint64_t life,
                            const std::string& how)
{
    const auto found = m_running.find(task);
    if (life == m_life && found != m_running.end() && found->second.m_number == number)
        finish(task, how);
}

void worker::join_gang(const std::string& task, std::uint64_t number, const task_nature& nature,
                       const std::string& how)
{
    constexpr duration gang_timeout = 3s;
    const std::pair key(wire::step_name(step_of(*wire::parse_task_name(task))), number);
    auto& gang = m_watch.m_gangs[key];
    gang.m_members[task] = [this, task, number, life = m_life](const std::string& end)
    { end_if_running(task, number, life, end); };
    m_later(gang_timeout,
            [this, key, task, number, life = m_life]
            {
                const auto found = m_watch.m_gangs.find(key);
                if (found != m_watch.m_gangs.end() && !found->second.m_whole)
                    end_if_running(task, number, life, "alone");
            });
    if (static_cast<int>(gang.m_members.size()) < nature.m_gang_size)
        return;
    gang.m_whole = true;
    m_later(nature.m_run_time,
            [this, key, how]
            {
                const auto found = m_watch.m_gangs.find(key);
                if (found == m_watch.m_gangs.end())
                    return;
                const auto members = std::exchange(found->second.m_members, {});
                m_watch.m_gangs.erase(found);
                for (const auto& [member, end] : members)
                    end(how);
            });
}

// A gang of which one member has ended is over for all.
void worker::leave_gang(const std::string& task, std::uint64_t number, const std::string& how)
{
    const std::pair key(wire::step_name(step_of(*wire::parse_task_name(task))), number);
    const auto found = m_watch.m_gangs.find(key);
    if (found == m_watch.m_gangs.end())
        return;
    found->second.m_members.erase(task);
    if (how == "alone")
        return;
    const auto members = std::exchange(found->second.m_members, {});
    m_watch.m_gangs.erase(found);
    for (const auto& [member, end] : members)
        end("broken");
}

void worker::check_lease(std::uint64_t life)
{
    if (life != m_life || m_running.empty())
        return;
    if (clock() < m_lease)
        return m_later(std::chrono::milliseconds(m_lease - clock()),
                       [this, life] { check_lease(life); });
    while (!m_running.empty())
        finish(std::string(m_running.begin()->first), "lapsed");
}

void worker::finish(const std::string& task, const std::string& how)
{
    const auto number = m_running.at(task).m_number;
    m_running.erase(task);
    m_closed_runs[task] = std::max(m_closed_runs[task], number);
    m_ends.push_back({++m_last_end, task, number, how});
    m_watch.ended(m_id, task, how);
    leave_gang(task, number, how);
}

std::string worker::report() const
{
    json running = json::array();
    for (const auto& [task, run] : m_running)
    {
        const auto percent =
            run.m_length == 0
                ? 0
                : std::min<std::int64_t>(100, 100 * (clock() - run.m_began) / run.m_length);
        running.push_back({task, run.m_number, "", percent, 0});
    }
    json ended = json::array();
    for (const auto& end : m_ends)
        ended.push_back({end.m_number, end.m_task, end.m_run, end.m_how, ""});
    return json{
        {"clock_ms", clock()}, {"born", m_started + 1}, {"running", running}, {"finished", ended}}
        .dump();
}

void worker::hold(const http_request& request, std::int64_t until, const reply& done)
{
    constexpr duration step = 20ms;
    if (m_faults.m_dark)
        return;
    const auto checked = act(request);
    if (checked.m_status != 200)
        return done(checked);
    const auto body = json::parse(request.m_body);
    if (body.contains("deadline_ms"))
        m_lease = std::max(
            m_lease, std::min(body["deadline_ms"].get<std::int64_t>(), clock() + longest_lease_ms));
    const auto seen = body.value("last_seen", std::uint64_t{0});
    for (const auto& end : m_ends)
        if (end.m_number <= seen && end.m_how == "done")
            m_watch.acknowledged_done(end.m_task);
    std::erase_if(m_ends, [seen](const end& entry) { return entry.m_number <= seen; });
    if (!m_ends.empty() || m_watch.m_now_ms() >= until)
        return done(json_response(200, report()));
    // Waiting doesn't prolong the lease again.
    auto waiting = request;
    auto rest = body;
    rest.erase("deadline_ms");
    waiting.m_body = rest.dump();
    m_later(step, [this, waiting, until, done] { hold(waiting, until, done); });
}

} // namespace stand_in
