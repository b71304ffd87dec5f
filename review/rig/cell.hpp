#pragma once

#include <csignal>
#include <filesystem>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "platform.hpp"

/// The entry VMs of a cell, as processes of their own, and a client of them.
namespace rig
{

class entry_vm
{
public:
    entry_vm(int number, const std::string& store, const std::string& approvals,
             const std::string& folder)
        : m_name("entry-" + std::to_string(number)), m_folder(folder)
    {
        m_caller = free_port();
        m_ready = free_port();
        m_peer = free_port();
        m_operator = free_port();
        const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        // As deploy/settings.json.template gives it for the small deployments.
        const json settings{{"vm", m_name},
                            {"data_centre", "zone-" + std::string(1, "abc"[number % 3])},
                            {"caller_listen", local(m_caller)},
                            {"operator_listen", local(m_operator)},
                            {"peer_listen", local(m_peer)},
                            {"max_body_bytes", 1048576},
                            {"cell",
                             {{"store", store},
                              {"approvals", approvals},
                              {"ready_listen", local(m_ready)},
                              {"processor_share", 0.25},
                              {"longest_lease_ms", 10000},
                              {"worker_notice_ms", 2000},
                              {"stop_ms", 6000}}}};
        std::ofstream(settings_path()) << settings.dump(2);
    }
    ~entry_vm() { kill(); }
    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;

    const std::string& name() const { return m_name; }
    int caller_port() const { return m_caller; }
    int operator_port() const { return m_operator; }
    bool runs() const { return m_process > 0; }

    void start()
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto settings = settings_path();
        m_process = fork();
        if (m_process == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl("target/dragonflygapd", "target/dragonflygapd", "--settings", settings.c_str(),
                  nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = -1;
    }
    /// True if the process ended by itself; says how.
    bool ended(std::string& how)
    {
        int status = 0;
        if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) != m_process)
            return false;
        m_process = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "code " + std::to_string(WEXITSTATUS(status));
        return true;
    }
    bool ready() const { return call(m_ready, "GET", "/ready", "x", "", 1000).m_status == 200; }
    json status() const
    {
        return parse(call(m_operator, "GET", "/v1/status", "x", "", 1000).m_body);
    }
    /// Megabytes that the process has in memory.
    long resident_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return resident * sysconf(_SC_PAGESIZE) / (1 << 20);
    }

private:
    std::string settings_path() const { return m_folder + "/" + m_name + ".json"; }

    std::string m_name;
    std::string m_folder;
    int m_caller = 0;
    int m_ready = 0;
    int m_peer = 0;
    int m_operator = 0;
    pid_t m_process = -1;
};

/// A small deployment: the store, an approval service that approves all, executors, entry VMs.
class cell
{
public:
    cell(record& log, std::string folder)
        : m_record(log),
          m_folder(std::move(folder)),
          m_store(log),
          m_runs(log),
          m_approvals(free_port(), [](const request& asked) { return approve(asked); })
    {
    }

    store& platform() { return m_store; }
    run_log& runs() { return m_runs; }
    std::vector<std::unique_ptr<executor>>& executors() { return m_executors; }
    std::vector<std::unique_ptr<entry_vm>>& vms() { return m_vms; }

    /// One route for each name, all to the same service; its path prefix is /NAME/.
    void configure(const std::vector<json>& routes)
    {
        json list = json::array();
        for (auto route : routes)
        {
            const auto name = route.at("name").get<std::string>();
            json full{{"name", name},
                      {"host", host},
                      {"path_prefix", "/" + name + "/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_latency_ms", 1000},
                      {"priority", 1},
                      {"service", "svc"},
                      {"max_attempts", 3},
                      {"stretch", 2.0}};
            full.update(route);
            list.push_back(full);
        }
        m_store.put("op", "config",
                    {{"version", 7},
                     {"routes", list},
                     {"services",
                      {{{"name", "svc"}, {"max_connections", 64}, {"rejects_overload", false}}}},
                     {"limits", {{"max_body_bytes", 262144}}}});
    }

    void add_executors(int count)
    {
        for (int i = 0; i < count; ++i)
            m_executors.push_back(std::make_unique<executor>(
                executor_options{.m_id = "i-" + std::to_string(1000 + i),
                                 .m_zone = "zone-" + std::string(1, "abc"[i % 3]),
                                 .m_kind = i % 2 == 0 ? "a" : "b",
                                 .m_rack =
                                     "r" + std::to_string(i % 3) + "-" + std::to_string(i / 24)},
                m_store, m_record, m_runs));
    }

    void start_vms(int count)
    {
        const auto approvals = "127.0.0.1:" + std::to_string(m_approvals.port());
        for (int i = 1; i <= count; ++i)
        {
            m_vms.push_back(std::make_unique<entry_vm>(i, m_store.address(), approvals, m_folder));
            m_vms.back()->start();
        }
    }

    bool wait_ready(std::int64_t timeout_ms)
    {
        const auto until = now_ms() + timeout_ms;
        while (now_ms() < until)
        {
            if (std::all_of(m_vms.begin(), m_vms.end(), [](const auto& vm) { return vm->ready(); }))
                return true;
            sleep_ms(100);
        }
        return false;
    }

    /// The VM that leads as its own status says; nullptr if none does.
    entry_vm* leader()
    {
        for (auto& vm : m_vms)
            if (vm->runs())
                if (const auto status = vm->status();
                    status.is_object() && status.contains("epoch"))
                    return vm.get();
        return nullptr;
    }

    response send(entry_vm& vm, const std::string& method, const std::string& queue,
                  const std::string& id, const json& body, std::int64_t timeout_ms = 3000)
    {
        return call(vm.caller_port(), method, "/" + queue + "/" + id, host,
                    body.is_null() ? "" : body.dump(), timeout_ms);
    }

    static constexpr const char* host = "nony24.example";

private:
    static response approve(const request& asked)
    {
        const auto body = parse(asked.m_body);
        json approved = json::array();
        if (body.is_object())
            for (const auto& id : body.value("workers", json::array()))
                approved.push_back({id, "ticket-" + id.get<std::string>()});
        return {.m_body = json{{"approved", approved}, {"validity_ms", 2000}}.dump()};
    }

    record& m_record;
    std::string m_folder;
    store m_store;
    run_log m_runs;
    server m_approvals;
    std::vector<std::unique_ptr<executor>> m_executors;
    std::vector<std::unique_ptr<entry_vm>> m_vms;
};

inline std::string job_id(std::uint64_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL + number));
    return text;
}

inline json one_step(int count, int cpu, int length_ms, bool saves)
{
    json step{{"count", count},
              {"cpu", cpu},
              {"requested_memory_mb", 64},
              {"estimated_duration_ms", length_ms}};
    if (saves)
        step["checkpointing"] = true;
    return {{"specification", std::to_string(length_ms) + (saves ? " saves" : "")},
            {"steps", {step}}};
}

} // namespace rig
