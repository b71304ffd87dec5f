#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node/support/cell_world.hpp"
#include "node/support/key_checker.hpp"
#include "node/support/liveness_checker.hpp"

namespace stand_in
{

struct life_options
{
    unsigned m_seed = 1;
    connection_options m_connections;
    bool m_has_resetting_worker = false; ///< One worker resets orders to the life's end and after.
    bool m_restarts = false; ///< Workers also restart under their ids and are cut off soon after.
    bool m_log = false; ///< Writes the nodes' logs, with the virtual time in lines between them.
};

/// What a life showed.
struct life_result
{
    std::vector<std::string> m_violations; ///< Of invariants, of liveness and of keys.
    /// Accepted jobs that weren't done in time after the last fault, and if ever.
    std::vector<std::string> m_unfinished;
    int m_jobs = 0;
    int m_leader_faults = 0;
    std::int64_t m_seconds = 0;         ///< From the start to the last fault.
    std::size_t m_resets = 0;           ///< Connections that workers reset, being at their limit.
    std::size_t m_most_connections = 0; ///< That one worker had open at a time.
    int m_key_changes = 0;
    int m_key_tries = 0;
};

/// Plays minutes of a cell's life: callers of some customers submit all the time while their keys
/// change, leaders fail in quick series, and workers, the store and VMs have faults that overlap.
class long_life
{
public:
    explicit long_life(life_options options);

    life_result play();

private:
    int random(int from, int to) { return from + static_cast<int>(m_random() % (to - from + 1)); }
    duration random_ms(int from, int to) { return std::chrono::milliseconds(random(from, to)); }
    void at(duration when, std::function<void()> work);
    void advance(duration length);
    void log(const std::string& text) const;

    void plan();
    void plan_leader_faults();
    void plan_worker_faults();
    void plan_store_faults();
    void fail_leader();
    void cut_off_member();
    void fail_worker();
    void restart_and_cut_off(int number);
    void fail_store();
    void heal_all();
    void submit_jobs();
    task_spec random_step();

    life_options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_member_random; ///< Of cut_off_member(), so that all else stays as it is.
    cell_world m_world;
    liveness_checker m_liveness;
    key_checker m_keys;
    std::multimap<instant, std::function<void()>> m_plan;
    instant m_end{};
    int m_jobs = 0;
    int m_leader_faults = 0;
    int m_crashes = 0;
    int m_store_fault = 0;          ///< Number of the current one.
    std::set<int> m_faulty_workers; ///< Those with a fault that lasts for a time.
    int m_resetting_worker = -1;    ///< Resets orders for the whole life; -1: none.
    bool m_healed = false;
};

/// The seeds given by DRAGONFLYGAP_LIFE_SEEDS="FIRST COUNT", else the first few.
std::vector<unsigned> life_seeds(unsigned default_count);

} // namespace stand_in
