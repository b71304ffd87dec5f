#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/support/stub_cell.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace simulated
{

/// Workers, customers and one leader after another. Looks at what really runs on the workers, not
/// at what the leader knows: no start may take a customer above its limit, or if it uses half of it
/// at most, above it by more than the task that starts.
class customer_cell
{
public:
    explicit customer_cell(int workers) : m_worker_count(workers)
    {
        lead({});
        m_leader->list(workers);
    }

    stub_cell& leader() { return *m_leader; }
    stub_cell::stub_worker& worker(int number) { return m_leader->m_workers[stub_cell::name(number)]; }

    /// Applies a version of the configuration, with the limits of all customers in millicores.
    void set_limits(const std::map<std::string, std::int64_t>& limits)
    {
        ++m_config.m_version;
        m_config.m_customers.clear();
        for (const auto& [name, millicores] : limits)
        {
            m_config.m_customers.push_back(
                {.m_name = customer_id(name), .m_limit = {.m_millicores = millicores}});
            m_limits[name] = millicores;
        }
        m_leader->feed(m_config);
    }

    void submit(const std::string& customer, const std::string& id, step_spec step,
                const queue_rules& queue = {})
    {
        m_jobs[job_id(id)] = {customer, step};
        m_leader->m_customer = customer_id(customer);
        m_leader->submit(id, std::move(step), queue);
    }
    /// Submits jobs of one task each, named by the customer and numbered from 0.
    void submit_tasks(const std::string& customer, int jobs, std::int64_t millicores,
                      const queue_rules& queue = {})
    {
        for (int i = 0; i < jobs; ++i)
            submit(customer, customer + "-" + std::to_string(i),
                   {.m_size = {.m_millicores = millicores}}, queue);
    }

    void run(duration length)
    {
        constexpr duration tick_interval = 10ms;
        for (duration passed{}; passed < length; passed += tick_interval)
        {
            m_leader->run(tick_interval);
            check_limits();
        }
    }

    /// The next leader reads what this one stored; it knows no configuration yet. The clocks of the
    /// two VMs differ.
    void change_leader()
    {
        recovered_state found{.m_self = {.m_epoch = ++m_epoch,
                                         .m_vm = vm_id("vm-" + std::to_string(m_epoch)),
                                         .m_uses_stored_since = 1},
                              .m_workers_epoch = m_epoch - 1,
                              .m_store_ms = 500000 + to_ms(m_leader->m_now.time_since_epoch()),
                              .m_unix_ms = m_leader->m_unix_ms};
        for (const auto& [name, value] : m_leader->m_rows)
        {
            const stored_row row{name, 1, value};
            if (name.m_table == job_table)
                found.m_jobs.push_back(row);
            else if (name.m_table == progress_table)
                found.m_progress.push_back(row);
            else if (const auto workers = name.m_table == workers_table
                                              ? unpack<workers_record>(value)
                                              : std::nullopt)
            {
                found.m_workers = workers->m_workers;
                found.m_unheard = workers->m_unheard;
            }
        }
        const auto before = std::exchange(m_leader, nullptr);
        lead(std::move(found));
        m_leader->m_unix_ms = before->m_unix_ms;
        for (auto [id, worker] : before->m_workers)
        {
            worker.m_born -= before->m_now - m_leader->m_now;
            m_leader->m_workers[id] = std::move(worker);
        }
    }
    void list() { m_leader->list(m_worker_count); }
    void send_config() { m_leader->feed(m_config); }

    /// Millicores of the customer's tasks that run on the workers.
    std::int64_t used(const std::string& customer) const
    {
        std::int64_t sum = 0;
        for (const auto& [id, worker] : m_leader->m_workers)
            for (const auto& [task, run] : worker.m_running)
                if (const auto& job = m_jobs.at(task.m_job); job.m_customer == customer)
                    sum += job.m_step.m_size.m_millicores;
        return sum;
    }
    int running(const std::string& id) const { return m_leader->running(id); }
    /// Of the customer's jobs, how many have at least one task running.
    int jobs_running(const std::string& customer) const
    {
        return static_cast<int>(std::count_if(m_jobs.begin(), m_jobs.end(),
                                              [&](const auto& job)
                                              {
                                                  return job.second.m_customer == customer &&
                                                         running(job.first.m_value) > 0;
                                              }));
    }
    /// Ends the customer's running tasks, or as many of them.
    void end_all(const std::string& customer) { end(customer, std::numeric_limits<int>::max()); }
    void end(const std::string& customer, int most)
    {
        for (const auto& [id, job] : m_jobs)
            if (const int here = running(id.m_value); job.m_customer == customer && here > 0)
            {
                m_leader->end(id.m_value, end_kind::done, most);
                most -= std::min(most, here);
            }
    }

    /// Tasks on workers that no renewal reaches end with their lease.
    void let_leases_lapse()
    {
        m_leases_lapse = true;
        m_leader->m_leases_lapse = true;
    }

private:
    struct submitted_job
    {
        std::string m_customer;
        step_spec m_step;
    };

    void lead(recovered_state found)
    {
        m_leader = std::make_unique<stub_cell>(std::move(found));
        m_leader->m_leases_lapse = m_leases_lapse;
        m_used.clear();
    }

    void check_limits()
    {
        for (const auto& [name, limit] : m_limits)
        {
            const auto now = used(name);
            const auto before = std::exchange(m_used[name], now);
            if (limit > 0 && now > before)
                CHECK_COMPARE_TEXT(now, <=, limit + most_above(name, limit), name.c_str());
        }
    }

    std::int64_t most_above(const std::string& customer, std::int64_t limit) const
    {
        std::int64_t result = 0;
        for (const auto& [id, job] : m_jobs)
            if (const auto size = job.m_step.m_size.m_millicores;
                job.m_customer == customer && (job.m_step.m_gang || size > limit / 2))
                result = std::max(result, size);
        return result;
    }

    int m_worker_count;
    bool m_leases_lapse = false;
    std::uint64_t m_epoch = 2;
    std::unique_ptr<stub_cell> m_leader;
    config_changed m_config;
    std::map<std::string, std::int64_t> m_limits; ///< As last listed.
    std::map<job_id, submitted_job> m_jobs;
    std::map<std::string, std::int64_t> m_used;   ///< At the last look.
};

} // namespace simulated
