#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/emulator/executor_model.hpp"
#include "dragonflygap/emulator/table_store.hpp"
#include "dragonflygap/emulator/worker_model.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/platform/vm_list.hpp"

namespace dragonflygap::emulator
{

struct cell_options
{
    endpoint m_platform{"127.0.0.1", 7000};
    std::uint16_t m_first_worker_port = 7100;
    std::vector<data_centre_id> m_data_centres{data_centre_id("local")};
    int m_workers = 4; ///< In all, spread evenly over the data centres.
    int m_workers_per_rack = 8;
    int m_slots = 8;
    int m_connections = 60;
    resources m_capacity{.m_millicores = 16000, .m_memory_mb = 32768, .m_accelerators = 2};
};

/// An answer and how long the other side takes to give it.
struct emulated_answer
{
    http_response m_response;
    duration m_delay{};
    bool m_lost = false; ///< The request took effect, but no answer comes.
};

/// Faults of the platform that an operator of the stand-in has switched on.
struct platform_faults
{
    bool m_table_down = false;
    duration m_table_delay{};
    int m_lose_replies = 0; ///< How many of the next commits take effect without an answer.
};

/// Stand-in for the platform with its table, its VM list, workers and executors.
///
/// Speaks the platform's protocol; safe from any thread.
class cell
{
public:
    explicit cell(cell_options options);

    /// Every address it answers at: the platform's and one for each worker.
    std::vector<endpoint> endpoints() const;

    emulated_answer handle(const endpoint& at, const http_request& request, instant now);

private:
    struct vm
    {
        platform::worker m_info;
        worker_model m_tasks;
        executor_model m_executor;
    };

    emulated_answer handle_platform(const http_request& request);
    emulated_answer handle_commit(const http_request& request);
    emulated_answer handle_faults(const http_request& request);
    emulated_answer handle_vm(vm& at, const http_request& request, instant now);
    emulated_answer handle_execute(vm& at, const http_request& request, instant now);

    std::mutex m_mutex;
    cell_options m_options;
    platform_faults m_faults;
    table_store m_table;
    std::map<std::string, std::string> m_objects;
    std::map<endpoint, vm> m_vms;
};

} // namespace dragonflygap::emulator
