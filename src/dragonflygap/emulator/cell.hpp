#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/emulator/executor_model.hpp"
#include "dragonflygap/emulator/faults.hpp"
#include "dragonflygap/emulator/report_log.hpp"
#include "dragonflygap/emulator/table_store.hpp"
#include "dragonflygap/emulator/worker_model.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/platform/vm_list.hpp"

#include <nlohmann/json_fwd.hpp>

namespace dragonflygap::emulator
{

struct cell_options
{
    endpoint m_platform{"127.0.0.1", 7000};
    std::uint16_t m_first_worker_port = 7100;
    std::vector<data_centre_id> m_data_centres{data_centre_id("local")};
    int m_workers = 4; ///< Total, spread evenly over the data centres.
    int m_workers_per_rack = 8;
    int m_slots = 8;
    int m_connections = 60;
    resources m_capacity{.m_millicores = 16000, .m_memory_mb = 32768, .m_accelerators = 2};
    /// Optional callback for each event that the emulator observes, such as a task that starts.
    std::function<void(const history::event& event, instant at)> m_record;
};

/// An answer and the delay after which it is sent.
struct emulated_answer
{
    http_response m_response;
    duration m_delay{};
    bool m_lost = false; ///< No answer is sent, whether or not the request took effect.
};

/// Emulates the platform with its table and VM list, and the workers with their executors.
///
/// Implements the platform's protocol. Thread-safe.
class cell
{
public:
    explicit cell(cell_options options);

    /// The addresses to serve: the platform's and one for each worker.
    std::vector<endpoint> endpoints() const;

    emulated_answer handle(const endpoint& address, const http_request& request, instant now);

    /// Ends the tasks that have finished, expired or stopped by now, and records their ends.
    void advance(instant now);

private:
    struct vm
    {
        platform::worker m_info;
        worker_model m_tasks;
        executor_model m_executor;
        report_log m_reports;
        std::set<endpoint> m_connections; ///< Client addresses of the connections seen so far.
        std::set<endpoint> m_silent;      ///< Connections on which requests get no answer.
    };

    emulated_answer handle_unless_cut(const endpoint& address, const http_request& request,
                                      instant now);
    emulated_answer handle_platform(const http_request& request, instant now);
    emulated_answer list_vms(const http_request& request, instant now);
    emulated_answer handle_commit(const http_request& request, instant now);
    emulated_answer handle_faults(const http_request& request, instant now);
    void corrupt_answer(emulated_answer& answer);
    void record_task(const worker_id& worker, const platform::task_report& task, instant at) const;
    void record(const history::event& event, instant at) const;
    emulated_answer handle_vm(vm& worker, const http_request& request, instant now);
    emulated_answer renew_tasks(vm& worker, const nlohmann::json& body, instant now);
    emulated_answer handle_execute(vm& worker, const http_request& request, instant now);

    std::mutex m_mutex;
    cell_options m_options;
    faults m_faults;
    std::map<worker_id, instant> m_leaving_since;
    std::set<worker_id> m_listed_leaving;
    table_store m_table;
    std::map<std::string, std::string> m_objects;
    std::map<endpoint, vm> m_vms;
};

} // namespace dragonflygap::emulator
