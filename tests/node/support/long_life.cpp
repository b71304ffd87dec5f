#include "node/support/long_life.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <sstream>
#include <utility>

#include "dragonflygap/observe/log.hpp"

namespace stand_in
{

namespace
{

constexpr int vm_count = 8;
constexpr int worker_count = 8;
constexpr int customer_count = 3;
constexpr int max_faulty_workers = 3;
constexpr duration start_time = 3s;
constexpr duration tick = 100ms;
// The shortest time that the target leaves a cell to finish its jobs after the traffic.
constexpr duration finish_time = 14s;
// A job's caller learns of its acceptance as late as this after the last fault.
constexpr duration caller_retry_time = 4s;
constexpr duration observation_time = 30s; // tells jobs that are late from lost ones

std::string job_name(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

std::string vm_name(int number)
{
    return "vm" + std::to_string(number);
}

} // namespace

long_life::long_life(life_options options)
    : m_options(options),
      m_random(options.m_seed),
      m_member_random(options.m_seed),
      m_world({.m_vms = vm_count,
               .m_workers = worker_count,
               .m_seed = options.m_seed,
               .m_connections = options.m_connections,
               .m_customers = customer_count}),
      m_liveness(m_world, finish_time),
      m_keys(m_world, options.m_seed)
{
    start_logging(m_options.m_log ? log_level::info : log_level::error, "cell");
}

void long_life::at(duration when, std::function<void()> work)
{
    m_plan.emplace(monotonic_clock::now() + when, std::move(work));
}

void long_life::log(const std::string& text) const
{
    if (m_options.m_log)
        std::cout << "at_ms=" << m_world.now_ms() << " leader=" << m_world.leader() << " " << text
                  << std::endl;
}

void long_life::advance(duration length)
{
    constexpr int samples_per_line = 10;
    const auto until = monotonic_clock::now() + length;
    for (int i = 0; monotonic_clock::now() < until; ++i)
    {
        if (i % samples_per_line == 0)
            log("life_tick");
        while (!m_plan.empty() && m_plan.begin()->first <= monotonic_clock::now())
        {
            const auto work = std::move(m_plan.begin()->second);
            m_plan.erase(m_plan.begin());
            work();
        }
        if (!m_healed)
            submit_jobs();
        m_world.run(tick);
        m_liveness.sample();
        m_keys.sample();
    }
}

void long_life::plan()
{
    plan_leader_faults();
    plan_worker_faults();
    plan_store_faults();
    for (duration when = random_ms(5000, 20000); when < m_end.time_since_epoch();
         when += random_ms(5000, 30000))
        at(when,
           [this]
           {
               cut_off_member();
               m_keys.change();
               log("config_changed version=" + std::to_string(m_world.config_version()));
           });
}

// Two or three quick series with calm between them; the last one reaches the end of the life.
void long_life::plan_leader_faults()
{
    duration when = random_ms(5000, 20000);
    const int series_count = random(2, 3);
    for (int series = 0; series < series_count; ++series)
    {
        const int leaders = random(3, 5);
        for (int i = 0; i < leaders; ++i, when += random_ms(2000, 9000))
            at(when, [this] { fail_leader(); });
        if (series + 1 < series_count)
            when += random_ms(15000, 60000);
    }
    m_end = instant(when + monotonic_clock::now().time_since_epoch());
}

void long_life::plan_worker_faults()
{
    const auto length = m_end - monotonic_clock::now();
    if (m_options.m_has_resetting_worker)
        at(random_ms(0, 30000),
           [this]
           {
               m_resetting_worker = random(0, worker_count - 1);
               m_world.at(m_resetting_worker).m_faults.m_resets_orders = true;
               log("worker_resets_orders number=" + std::to_string(m_resetting_worker));
           });
    for (duration when = random_ms(1000, 10000); when < length; when += random_ms(2000, 10000))
        at(when, [this] { fail_worker(); });
}

void long_life::plan_store_faults()
{
    const auto length = m_end - monotonic_clock::now();
    for (duration when = random_ms(5000, 30000); when < length; when += random_ms(10000, 40000))
        at(when, [this] { fail_store(); });
}

void long_life::fail_leader()
{
    constexpr duration retry_interval = 500ms;
    const auto vm = m_world.leader();
    if (m_healed)
        return;
    if (vm.empty() || m_world.is_cut(vm) || m_world.is_frozen(vm))
        return at(retry_interval, [this] { fail_leader(); });
    ++m_leader_faults;
    const auto length = random_ms(1000, 6000);
    const int kind = random(0, 6);
    log("leader_fault kind=" + std::to_string(kind) + " vm=" + vm +
        " length_ms=" + std::to_string(to_ms(length)));
    auto start_again = [this, vm]
    {
        if (m_world.find(vm) == nullptr)
            m_world.start(vm);
    };
    switch (kind)
    {
    case 0:
        m_world.kill(vm);
        at(length, start_again);
        break;
    case 1:
        m_world.cut_power(vm);
        at(length, start_again);
        break;
    case 2:
        // A stopping VM has its grace time to end.
        m_world.stop(vm);
        at(length + 8s, start_again);
        break;
    case 3:
    case 4:
        m_world.freeze(vm, true);
        at(length,
           [this, vm]
           {
               if (m_world.find(vm) != nullptr)
                   m_world.freeze(vm, false);
           });
        break;
    case 5:
        m_world.cut_off(vm);
        at(length, [this, vm] { m_world.heal(vm); });
        break;
    default:
        m_world.cut(vm, "store");
        at(length, [this, vm] { m_world.heal(vm); });
        break;
    }
}

// From the store and from the leader, so that it hears of the next version only from other members.
void long_life::cut_off_member()
{
    const auto leader = m_world.leader();
    const auto vm = vm_name(static_cast<int>(m_member_random() % vm_count));
    if (vm == leader || leader.empty() || m_world.is_cut(vm) || m_world.is_cut(leader))
        return;
    const duration length = std::chrono::milliseconds(4000 + m_member_random() % 4000);
    log("member_fault vm=" + vm + " length_ms=" + std::to_string(to_ms(length)));
    m_world.cut(vm, "store");
    m_world.cut(vm, leader);
    at(length,
       [this, vm, leader]
       {
           m_world.heal(vm, "store");
           m_world.heal(vm, leader);
       });
}

void long_life::fail_worker()
{
    if (m_healed || m_faulty_workers.size() >= max_faulty_workers)
        return;
    const int number = random(0, worker_count - 1);
    if (number == m_resetting_worker || m_faulty_workers.count(number) != 0)
        return;
    auto& faults = m_world.at(number).m_faults;
    const int kind = random(0, m_options.m_restarts ? 5 : 4);
    log("worker_fault kind=" + std::to_string(kind) + " number=" + std::to_string(number));
    duration length = random_ms(1000, 8000);
    switch (kind)
    {
    case 0:
        return m_world.crash_worker(number, "w" + std::to_string(number) + "." +
                                                std::to_string(++m_crashes));
    case 1:
        faults.m_hangs = true;
        break;
    case 2:
        faults.m_unanswered_order_rate = random(1, 5) / 10.0;
        length = random_ms(5000, 20000);
        break;
    case 3:
        faults.m_unreachable = true;
        break;
    case 5:
        return restart_and_cut_off(number);
    default:
        faults.m_resets_orders = true;
        length = random_ms(3000, 20000);
        break;
    }
    m_faulty_workers.insert(number);
    at(length,
       [this, number]
       {
           m_world.at(number).m_faults = {.m_resets_orders = number == m_resetting_worker};
           m_faulty_workers.erase(number);
       });
}

// Under the same identifier, perhaps twice; soon after it is silent for a time.
void long_life::restart_and_cut_off(int number)
{
    m_faulty_workers.insert(number);
    const auto restart = [this, number]
    { m_world.crash_worker(number, std::string(m_world.at(number).id())); };
    restart();
    duration when = random_ms(100, 2500);
    if (random(0, 3) == 0)
        at(when / 2, restart);
    at(when, [this, number] { m_world.at(number).m_faults.m_unreachable = true; });
    when += random_ms(3000, 12000);
    at(when,
       [this, number]
       {
           m_world.at(number).m_faults.m_unreachable = false;
           m_faulty_workers.erase(number);
       });
}

void long_life::fail_store()
{
    if (m_healed)
        return;
    const int kind = random(0, 3);
    log("store_fault kind=" + std::to_string(kind));
    auto& faults = m_world.rows().m_faults;
    faults = {};
    duration length = random_ms(1000, 6000);
    switch (kind)
    {
    case 0:
        faults.m_down = true;
        length = random_ms(500, 5000);
        break;
    case 1:
        faults.m_response_time = random_ms(50, 500);
        break;
    case 2:
        faults.m_lost_reply_rate = 0.3;
        break;
    default:
        faults.m_delayed_write_rate = 0.2;
        break;
    }
    at(length,
       [this, fault = ++m_store_fault]
       {
           if (fault == m_store_fault)
               m_world.rows().m_faults = {};
       });
}

void long_life::heal_all()
{
    log("all_healed");
    m_healed = true;
    m_plan.clear();
    m_world.heal();
    m_world.rows().m_faults = {};
    for (int i = 0; i < worker_count; ++i)
        m_world.at(i).m_faults = {.m_resets_orders = i == m_resetting_worker};
    for (int i = 0; i < vm_count; ++i)
        if (m_world.find(vm_name(i)) == nullptr)
            m_world.start(vm_name(i));
        else
            m_world.freeze(vm_name(i), false);
}

task_spec long_life::random_step()
{
    switch (random(0, 9))
    {
    case 0: // wide, of small tasks
        return {.m_cpu = random(50, 200),
                .m_run_time = random_ms(100, 1000),
                .m_gang_size = random(30, 100)};
    case 1:
    case 2:
        return {.m_cpu = random(500, 4500),
                .m_run_time = random_ms(500, 3000),
                .m_gang = true,
                .m_gang_size = random(2, 6)};
    case 3:
    case 4:
        return {.m_cpu = random(500, 1000),
                .m_run_time = random_ms(500, 2500),
                .m_gang_size = random(5, 12)};
    default:
        return {.m_cpu = random(700, 1500),
                .m_run_time = random_ms(50, 600),
                .m_gang_size = random(1, 2)};
    }
}

void long_life::submit_jobs()
{
    constexpr int percent = 40; // a tick, so four jobs a second
    if (random(1, 100) > percent)
        return;
    std::vector<task_spec> steps{random_step()};
    if (random(0, 3) == 0)
    {
        steps.push_back(random_step());
        steps.back().m_depends_on = {0};
    }
    // A VM that is gone takes no connection; its callers are sent to another one.
    int vm = random(0, vm_count - 1);
    for (int tries = 0; tries < vm_count && m_world.find(vm_name(vm)) == nullptr; ++tries)
        vm = (vm + 1) % vm_count;
    ++m_jobs;
    m_world.submit(vm_name(vm), job_name(m_jobs), std::move(steps),
                   "c" + std::to_string(m_jobs % customer_count));
}

life_result long_life::play()
{
    m_world.run(start_time);
    plan();
    advance(m_end - monotonic_clock::now());
    heal_all();
    const auto healed_ms = m_world.now_ms();
    advance(finish_time);
    const auto late = m_liveness.unfinished(healed_ms + to_ms(caller_retry_time));
    life_result result;
    if (!late.empty() || !m_world.m_checker.m_violations.empty())
        advance(observation_time);
    const auto lost = m_liveness.unfinished(healed_ms + to_ms(caller_retry_time));
    for (const auto& job : late)
        result.m_unfinished.push_back(
            job + (std::find(lost.begin(), lost.end(), job) == lost.end() ? " late" : " lost"));
    result.m_violations = m_world.m_checker.m_violations;
    for (const auto* more : {&m_liveness.m_violations, &m_keys.m_violations})
        result.m_violations.insert(result.m_violations.end(), more->begin(), more->end());
    result.m_key_changes = m_keys.changes();
    result.m_key_tries = m_keys.tries();
    result.m_jobs = m_jobs;
    result.m_leader_faults = m_leader_faults;
    result.m_seconds = healed_ms / 1000;
    result.m_resets = m_world.connections().resets();
    result.m_most_connections = m_world.connections().most_open();
    return result;
}

std::vector<unsigned> life_seeds(unsigned default_count)
{
    unsigned first = 1;
    unsigned count = default_count;
    if (const char* text = std::getenv("DRAGONFLYGAP_LIFE_SEEDS"); text != nullptr)
        std::istringstream(text) >> first >> count;
    std::vector<unsigned> seeds(count);
    std::iota(seeds.begin(), seeds.end(), first);
    return seeds;
}

} // namespace stand_in
