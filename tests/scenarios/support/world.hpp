#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/history_checker/checker.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/net/timer_queue.hpp"

namespace scenarios
{

using namespace dragonflygap;

struct world_options
{
    int m_entry_vms = 3;
    int m_data_centres = 3;
    int m_workers = 6;
    int m_slots = 8;
    unsigned m_seed = 1;
};

/// A caller's request, as a scenario tells it.
struct call_options
{
    std::string m_class = "tablet";
    std::string m_through; ///< Entry VM; empty: the balancer chooses one that is up.
    std::string m_key;
    std::string m_idempotent; ///< As in the header; empty: none.
    double m_run_ms = 10;
    int m_deadline_ms = 0;
};

/// What became of the callers' requests.
struct call_counts
{
    int m_sent = 0;
    int m_answered = 0;
    int m_refused = 0; ///< Reported as not run.
    int m_unknown = 0; ///< May have run, or the connection was lost.
    std::map<std::string, int> m_reasons;

    int pending() const { return m_sent - m_answered - m_refused - m_unknown; }
};

class node;

/// Daemons' own tasks and the stand-in on one virtual clock, joined by queues of messages.
class world
{
public:
    explicit world(world_options options);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    void run(duration length);

    void start(const std::string& vm);
    void kill(const std::string& vm);
    void pause(const std::string& vm);
    void resume(const std::string& vm);
    void drain(const std::string& vm);
    bool is_up(const std::string& vm) const { return m_nodes.contains(vm); }

    /// Messages from one to the other are lost: entry VMs or data centres, "*" is any.
    void cut(const std::string& from, const std::string& to);
    void heal();
    /// Calls to the platform and to workers arrive so much later than they were sent.
    void slow_calls(const std::string& vm, duration delay);
    /// Messages between entry VMs arrive twice.
    void double_messages(bool on) { m_double_messages = on; }
    void faults(const std::string& json);

    void call(const call_options& options);
    /// Every caller that waits for an answer goes away.
    void hang_up();
    const call_counts& calls() const { return m_calls; }

    /// An operator's call, run until it is answered.
    http_response operate(const std::string& vm, http_request request);

    /// Tasks that run on workers, of jobs whose id starts with the prefix.
    int running_tasks(std::string_view job) const;
    /// Starts of such tasks since the beginning.
    int task_starts(std::string_view job) const;

    std::vector<history_checker::violation> violations();
    std::string history() const;

    // For the nodes and the callers' exchanges:
    bool carry(const std::string& from, const std::string& to, std::string bytes);
    void arrive(duration delay, std::function<void()> work);
    emulator::cell& cell() { return m_cell; }
    node* find(const std::string& vm);
    void answered(const std::string& token, bool keyed, const http_response& response);
    void lost(const std::string& token, bool keyed, verdict what);
    void record(const std::string& vm, const history::event& what, instant at);

private:
    bool step(instant until);
    bool is_cut(const std::string& from, const std::string& to) const;
    std::string centre_of(const std::string& vm) const;

    world_options m_options;
    std::mt19937_64 m_random;
    timer_queue m_network;
    std::vector<std::string> m_lines;
    emulator::cell m_cell;
    std::map<std::string, std::unique_ptr<node>> m_nodes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::string, duration> m_slow;
    std::map<std::string, std::string> m_running;
    std::map<std::string, int> m_task_starts;
    std::vector<std::function<void()>> m_hang_ups;
    std::uint64_t m_last_incarnation = 0;
    std::uint64_t m_last_call = 0;
    std::set<std::string> m_draining;
    bool m_double_messages = false;
    std::string m_acting; ///< Whose code runs now.
    call_counts m_calls;
};

} // namespace scenarios
