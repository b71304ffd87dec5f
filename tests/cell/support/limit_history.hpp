#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/support/worker_life.hpp"
#include "dragonflygap/cell/events.hpp"
#include "dragonflygap/cell/coordinator.hpp"

#include <CppUTest/TestHarness.h>

namespace simulated
{

inline std::string g_history;
inline const dragonflygap::cell::coordinator* g_leader;
/// The versions of a configuration with a few customers, and which limits may be in force.
class limit_history
{
public:
    static constexpr int customers = 3;
    /// A version is in force at every leader within this time.
    static constexpr duration max_delay = 3s;
    /// An order that was sent before may be carried out for so long.
    static constexpr duration order_window = 1500ms;

    /// Every fourth job has no customer.
    static customer_id customer_of(const job_id& job)
    {
        const auto number = std::stoi(job.m_value.substr(job.m_value.find('-') + 1)) % (customers + 1);
        return number == 0 ? customer_id() : customer_id("customer-" + std::to_string(number));
    }

    /// Adds a version with a limit for each customer, in millicores.
    void add(instant now, const std::vector<std::int64_t>& limits)
    {
        config_changed version{.m_version = m_versions.size() + 1};
        for (int i = 0; i < customers; ++i)
            version.m_customers.push_back({.m_name = customer_id("customer-" + std::to_string(i + 1)),
                                           .m_limit = {.m_millicores = limits[i]}});
        m_versions.emplace_back(now, version);
    }
    const config_changed& newest() const { return m_versions.back().second; }

    /// Fails if a start that has just been carried out took its customer above its limit by more
    /// than a tenth and one task.
    void check_start(const std::map<worker_id, worker_life>& lives, const run_key& started,
                     instant now) const
    {
        const auto customer = customer_of(started.m_task.m_job);
        if (customer.empty())
            return;
        std::int64_t used = 0;
        std::int64_t task = 0;
        for (const auto& [id, life] : lives)
            for (const auto& [key, run] : life.m_running)
            {
                if (customer_of(key.m_task.m_job) == customer)
                    used += run.m_size.m_millicores;
                if (key == started)
                    task = run.m_size.m_millicores;
            }
        const auto limit = highest_limit(customer, now);
        if (used > limit + limit / 10 + task)
        {
            for (const auto& [at, v] : m_versions)
                std::printf("version %ld at %ld: %ld %ld %ld\n", (long)v.m_version, (long)to_ms(at.time_since_epoch()), (long)v.m_customers[0].m_limit.m_millicores, (long)v.m_customers[1].m_limit.m_millicores, (long)v.m_customers[2].m_limit.m_millicores);
            for (const auto& [id, life] : lives)
                for (const auto& [key, run] : life.m_running)
                    std::printf("%s runs %s.%d.%d.%d run %lu of %s: %ld since %ld%s token %ld born %ld\n", id.m_value.c_str(), key.m_task.m_job.m_value.c_str(), key.m_task.m_occurrence, key.m_task.m_step, key.m_task.m_index, (unsigned long)key.m_run, customer_of(key.m_task.m_job).m_value.c_str(), (long)run.m_size.m_millicores, (long)to_ms(run.m_present_since.time_since_epoch()), key == started ? " STARTED" : "", (long)life.m_token, (long)to_ms(life.m_born.time_since_epoch()));
            std::printf("%s", g_history.c_str());
            for (const auto& [id, w] : g_leader->workers()) { std::printf("leader sees %s reported %d synced %d:", id.m_value.c_str(), w.m_reported, w.m_synced);
               for (const auto& [k, pl] : w.m_placements) std::printf(" %s.%d.%d run %lu c %u size %ld phase %d stop %d;", k.m_job.m_value.c_str(), k.m_occurrence, k.m_index, (unsigned long)pl.m_run, pl.m_customer, (long)pl.m_size.m_millicores, (int)pl.m_phase, pl.m_stop_requested);
               for (const auto& [k, run] : w.m_unconfirmed_starts) std::printf(" UNCONFIRMED %s.%d.%d run %lu", k.m_job.m_value.c_str(), k.m_occurrence, k.m_index, (unsigned long)run);
               std::printf("\n"); }
            std::printf("now %ld\n", (long)to_ms(now.time_since_epoch()));
        }
        CHECK_COMPARE_TEXT(used, <=, limit + limit / 10 + task, customer.m_value.c_str());
    }

private:
    std::int64_t highest_limit(const customer_id& customer, instant now) const
    {
        std::int64_t result = 0;
        for (auto version = m_versions.rbegin(); version != m_versions.rend(); ++version)
        {
            for (const auto& rules : version->second.m_customers)
                if (rules.m_name == customer)
                    result = std::max(result, rules.m_limit.m_millicores);
            if (version->first + max_delay + order_window < now)
                break;
        }
        return result;
    }

    std::vector<std::pair<instant, config_changed>> m_versions;
};

} // namespace simulated
