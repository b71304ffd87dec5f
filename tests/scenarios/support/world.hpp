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

/// Options of a caller's request.
struct call_options
{
    std::string m_class = "tablet";
    std::string m_entry_vm; ///< If empty, a random one that is neither paused nor draining.
    std::string m_key;
    std::string m_idempotent; ///< Value of the header; if empty, the header is not sent.
    double m_run_ms = 10;
    int m_deadline_ms = 0;
};

/// Outcomes of the callers' requests.
struct call_counts
{
    int m_sent = 0;
    int m_answered = 0;
    int m_refused = 0; ///< Reported as not run, or no entry VM was available.
    int m_unknown = 0; ///< May have run, or the connection was lost.
    std::map<std::string, int> m_reason_counts;

    int pending() const { return m_sent - m_answered - m_refused - m_unknown; }
};

class node;

/// Simulates a cell: the daemons' tasks and the emulator on one virtual clock, linked by a
/// simulated network. The same options and calls give the same history.
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

    /// Drops the messages between entry VMs in one direction. Each end names an entry VM, a data
    /// centre or, as "*", any.
    void cut(const std::string& from, const std::string& to);
    /// Removes all cuts, including the emulator's, and the delays of slow_calls().
    void heal();
    /// Delays the VM's calls to the platform and to workers on their way there.
    void slow_calls(const std::string& vm, duration delay);
    /// Delivers each message between entry VMs twice.
    void set_duplicate_messages(bool on) { m_duplicate_messages = on; }
    void faults(const std::string& json);

    void call(const call_options& options);
    /// All callers that wait for a response close their connections.
    void hang_up();
    const call_counts& calls() const { return m_call_counts; }

    /// Calls the operator API of a VM and runs the world until the response arrives.
    ///
    /// Returns status 504 if none arrives in time.
    http_response call_operator_api(const std::string& vm, http_request request);

    /// Number of tasks that run on workers now, of jobs whose id starts with the prefix.
    int running_tasks(std::string_view job) const;
    /// Number of starts of such tasks since the world was created.
    int task_starts(std::string_view job) const;

    std::vector<history_checker::violation> violations();
    std::string history() const;

    // Called by the nodes and the callers' exchanges:

    /// Sends a message from one entry VM to another; returns true even if a cut drops it.
    bool send_message(const std::string& from, const std::string& to, std::string bytes);
    /// Runs the work after the delay, whether or not the sender still runs then.
    void deliver_after(duration delay, std::function<void()> work);
    emulator::cell& cell() { return m_cell; }
    node* find(const std::string& vm);
    void record_response(const std::string& token, bool keyed, const http_response& response);
    void record_failure(const std::string& token, bool keyed, verdict call_verdict);
    void record(const std::string& vm, const history::event& event, instant at);

private:
    /// Runs the earliest event due by then; returns false if there is none.
    bool run_next_event(instant until);
    bool is_cut(const std::string& from, const std::string& to) const;
    std::string data_centre_of(const std::string& vm) const;

    world_options m_options;
    std::mt19937_64 m_random;
    timer_queue m_network;
    std::vector<std::string> m_history_lines;
    emulator::cell m_cell;
    std::map<std::string, std::unique_ptr<node>> m_nodes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::string, duration> m_call_delays;
    std::map<std::string, std::string> m_running_tasks;
    std::map<std::string, int> m_task_starts;
    std::vector<std::function<void()>> m_hang_up_hooks;
    std::uint64_t m_last_incarnation = 0;
    std::uint64_t m_last_call = 0;
    std::set<std::string> m_draining;
    bool m_duplicate_messages = false;
    std::string
        m_event_source; ///< Source of recorded events: the VM whose code runs, or "network".
    call_counts m_call_counts;
};

} // namespace scenarios
