#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace stand_in
{

using namespace dragonflygap;

/// Size and nature of a task, as the test that submitted its job knows them.
struct task_nature
{
    std::int64_t m_cpu = 1000;
    std::int64_t m_memory_mb = 100;
    duration m_run_time = 300ms;
    duration m_own_time{}; ///< Of one member of a gang, after which it waits; 0: as long as all.
    bool m_always_fails = false;
    bool m_gang = false;
    int m_gang_size = 1;
    std::vector<int> m_after;
};

/// Watches all workers for broken promises.
class referee
{
public:
    std::function<const task_nature*(const std::string& job, int step)> m_nature;
    std::function<std::int64_t()> m_now_ms;

    void started(const std::string& worker, const std::string& task, std::uint64_t run);
    void ended(const std::string& worker, const std::string& task, const std::string& how);
    void acknowledged_done(const std::string& task) { m_done_known.insert(task); }
    void violation(std::string text) { m_violations.push_back(std::move(text)); }

    /// The members of one run of a gang work while all of them are there, and end together.
    struct gang
    {
        std::map<std::string, std::function<void(const std::string& how)>> m_members;
        bool m_whole = false;
    };
    std::map<std::pair<std::string, std::uint64_t>, gang> m_gangs; ///< By step and run.

    std::vector<std::string> m_violations;
    std::map<std::string, std::set<std::string>> m_running; ///< Task: the workers that run it.
    std::set<std::string> m_done;
    std::set<std::string> m_rejected;  ///< Jobs whose every submission was rejected.
    std::set<std::string> m_cancelled; ///< Jobs whose cancellation was confirmed a while ago.
    std::map<std::string, int> m_starts;

private:
    std::set<std::string> m_done_known;
};

struct worker_faults
{
    bool m_dark = false;     ///< Neither receives nor answers.
    double m_unanswered = 0; ///< Share of the orders that are carried out late, without an answer.
    bool m_fails_all = false;
    bool m_hangs = false; ///< What starts makes no progress.
};

/// One executor of the platform. Time is the world's; its own clock starts at zero.
class worker
{
public:
    using reply = std::function<void(http_response)>;
    using later = std::function<void(duration, std::function<void()>)>;

    worker(std::string id, std::mt19937_64& random, referee& watch, later run_later);

    void handle(const http_request& request, const reply& done);

    /// The entry that it writes to the store.
    std::string entry(const std::string& service, const std::string& address) const;

    /// Loses everything that runs and all that it knows; it goes on under a new id.
    void crash(std::string new_id);

    const std::string& id() const { return m_id; }
    std::size_t running() const { return m_running.size(); }

    worker_faults m_faults;
    bool m_draining = false;
    std::int64_t m_cpu = 16000;
    std::int64_t m_memory_mb = 32768;

private:
    struct run
    {
        std::uint64_t m_number = 0;
        std::int64_t m_began = 0;
        std::int64_t m_length = 1; ///< In ms; 0: it stands still.
    };
    struct end
    {
        std::uint64_t m_number = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_how;
    };

    std::int64_t clock() const { return m_watch.m_now_ms() - m_started; }
    http_response act(const http_request& request);
    http_response start(const std::string& task, std::uint64_t number, std::int64_t deadline);
    void finish(const std::string& task, const std::string& how);
    void check_lease(std::uint64_t life);
    void end_if_running(const std::string& task, std::uint64_t number, std::uint64_t life,
                        const std::string& how);
    void join_gang(const std::string& task, std::uint64_t number, const task_nature& nature,
                   const std::string& how);
    void leave_gang(const std::string& task, std::uint64_t number, const std::string& how);
    void hold(const http_request& request, std::int64_t until, const reply& done);
    std::string report() const;

    std::string m_id;
    std::mt19937_64& m_random;
    referee& m_watch;
    later m_later;
    std::int64_t m_started = 0;
    std::uint64_t m_life = 1;
    std::uint64_t m_token = 0;
    std::int64_t m_lease = 0;
    std::uint64_t m_last_end = 0;
    std::map<std::string, run> m_running;
    std::map<std::string, std::uint64_t> m_closed_runs; ///< Highest run that ended or was stopped.
    std::vector<end> m_ends;
};

} // namespace stand_in
