#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/timer_queue.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/node/node.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "node/support/stand_in_store.hpp"
#include "node/support/stand_in_worker.hpp"
#include "node/support/worker_connections.hpp"

namespace stand_in
{

inline const endpoint store_address{"10.0.0.1", 80};
inline const endpoint approval_address{"10.0.0.2", 80};
constexpr std::uint16_t worker_port = 9000;
constexpr duration network_delay = 1ms;

struct world_options
{
    int m_vms = 3;
    int m_workers = 4;
    unsigned m_seed = 1;
    bool m_approvals = true;  ///< The queue requires tickets.
    bool m_heartbeats = true; ///< Else a worker's entry is written only when it changes.
    std::map<std::string, double> m_processor_shares; ///< Of a core, by VM; default 1.
    /// Without it, calls to workers need no connections.
    std::optional<connection_options> m_connections;
    /// Customers in the configuration, named c0, c1 and so on; 0: calls need no keys.
    int m_customers = 0;
    duration m_keys_expire{}; ///< Setting of each VM.
};

/// A job's submission, as its caller saw it.
struct submission
{
    int m_status = 0; ///< Of the last answer; 0: none yet.
    bool m_accepted = false;
    bool m_all_rejected = true;
    std::string m_retry_after;
};

/// Simulates a cell on a virtual clock: entry VMs run the real code, the platform is simulated.
class cell_world
{
public:
    explicit cell_world(world_options options);
    ~cell_world();
    cell_world(const cell_world&) = delete;
    cell_world& operator=(const cell_world&) = delete;

    void run(duration length);

    void start(const std::string& vm);
    void kill(const std::string& vm);
    /// Ends a VM's process without closing its connections.
    void cut_power(const std::string& vm);
    void stop(const std::string& vm);
    void freeze(const std::string& vm, bool frozen);
    /// Lets a VM's process handle events only once in each round, and receive no more bytes of a
    /// response in each, as a process short of processor time does. Zero: as fast as usual.
    void slow_down(const std::string& vm, duration round, std::size_t bytes_per_round = 4096);
    /// Drops all traffic between two parties: a VM's name, "store", or a worker's address.
    void cut(const std::string& left, const std::string& right);
    void cut_off(const std::string& vm); ///< From the store, the workers and all other VMs.
    void heal() { m_cuts.clear(); }
    void heal(const std::string& party);
    void heal(const std::string& left, const std::string& right);
    /// Drops one VM's messages to another until it redials it.
    void silence(const std::string& from, const std::string& to) { m_silenced.insert({from, to}); }
    bool is_cut(const std::string& party) const;
    bool is_cut(const std::string& left, const std::string& right) const;
    bool is_frozen(const std::string& vm) const;
    /// Restarts a worker under a new id, or under the same; its connections and running tasks are
    /// lost.
    void crash_worker(int number, const std::string& new_id);
    std::string leader() const; ///< Empty if there is none or more than one.

    /// Submits a job through a VM, and retries while the outcome is unknown. Calls of a customer
    /// carry its key.
    void submit(const std::string& vm, const std::string& job, std::vector<task_spec> steps,
                const std::string& customer = "");
    /// Sends one request; done gets the response.
    void send(const std::string& vm, http_request request,
              std::function<void(const http_response&)> done);
    std::string state(const std::string& vm, const std::string& job,
                      const std::string& customer = "");
    void cancel(const std::string& vm, const std::string& job, const std::string& customer = "");
    /// Status of a call with a key; 0: no answer within 2 s. 200 shows that the key was accepted,
    /// 503 doesn't, as the VM may know no leader.
    int try_key(const std::string& vm, const std::string& key);

    void set_config(int version, const std::string& body);
    std::string queue_config(int version) const;
    /// Writes the next version, with the keys as they are in m_keys.
    void change_config();
    int config_version() const { return m_config_version; }

    int completed() const; ///< Jobs whose tasks are all done, as reported by the workers.
    bool all_accepted_are_done() const { return accepted_not_done().empty(); }
    std::vector<std::string> accepted_not_done() const;
    worker& at(int number) { return *m_workers.at(static_cast<std::size_t>(number)); }
    const world_options& options() const { return m_options; }
    const worker_connections& connections() const { return m_worker_connections; }
    static std::string address_of(int number);

    node::node* find(const std::string& vm);
    store& rows() { return m_store; }
    /// The metrics of a VM's process as text.
    std::string metrics_of(const std::string& vm) const;
    std::int64_t now_ms() const;

    invariant_checker m_checker;
    std::map<std::string, submission> m_submissions;
    std::map<std::string, std::vector<std::string>> m_keys; ///< By customer, as configured next.
    std::map<std::string, std::string> m_caller_keys;       ///< By customer, as its callers use.
    duration m_answer_delay{}; ///< Delays answers to other VMs, as an overloaded leader does.
    duration m_config_delay{}; ///< Delays configurations to other VMs, as a slow link does.
    int m_configs_sent = 0;    ///< To other VMs.
    int m_inquiries_sent = 0;  ///< Of other VMs' configurations.

private:
    struct vm_process
    {
        explicit vm_process() : m_loop(m_timers) {}
        timer_queue m_timers;
        event_loop m_loop;
        metrics m_metrics;
        std::unique_ptr<connection_pools> m_connections;
        http_transport m_transport;
        std::unique_ptr<node::node> m_node;
        std::function<void(http_request, http_exchange_ptr)> m_handler;
        std::uint64_t m_incarnation = 0;
        std::set<vm_id> m_dialled; ///< Other VMs that it can send to.
        bool m_frozen = false;
        duration m_round{}; ///< Zero: events are handled when they are due.
        std::size_t m_bytes_per_round = 0;

        std::optional<instant> next_due() const;
        duration reading_time(const outcome<http_response>& response) const;
    };

    bool step(instant until);
    duration delay_of(std::string_view message);
    void schedule(duration delay, std::function<void()> work);
    http_transport transport_of(const std::string& vm, vm_process& process);
    connection_network network_of(const std::string& vm, std::uint64_t incarnation);
    worker* worker_at(const endpoint& address);
    bool reaches_worker(const std::string& vm, const endpoint& address);
    void post_to(const std::string& vm, std::uint64_t incarnation, std::function<void()> work);
    void close(const std::string& vm, const endpoint& to, connection_id connection);
    void route(const std::string& vm, const endpoint& to, const http_request& request,
               const worker::reply& done);
    void approve(const http_request& request, const worker::reply& done);
    void publish_workers();
    void retry(const std::string& vm, const std::string& job, const std::string& body,
               const std::string& customer);
    std::vector<http_header> authorization(const std::string& key) const;

    world_options m_options;
    std::mt19937_64 m_random;
    timer_queue m_network;
    store m_store;
    worker_connections m_worker_connections;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::map<std::string, std::unique_ptr<vm_process>> m_processes;
    std::map<std::string, std::vector<task_spec>> m_jobs;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::pair<std::string, std::string>> m_silenced; ///< Sender and receiver.
    std::uint64_t m_last_incarnation = 0;
    std::uint64_t m_last_call = 0;
    int m_config_version = 0;
};

} // namespace stand_in
