#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"

namespace dragonflygap::platform
{

enum class call_kind
{
    read,
    write,
};

enum class call_priority
{
    lease,  ///< Ownership: goes first, and has a reserved share of the rate limit.
    normal, ///< Everything else.
};

struct call_gate_options
{
    int m_max_in_flight = 8;
    std::size_t m_max_waiting = 256;
    double m_reads_per_s = 2000;      ///< For all entry VMs together.
    double m_writes_per_s = 300;      ///< For all entry VMs together.
    double m_lease_reserve = 0.25;    ///< Share of the tokens that only leases may use.
    duration m_max_wait = 1s;         ///< A call that waited longer is rejected.
    int m_failures_to_open = 5;       ///< Consecutive failures that open the circuit breaker.
    duration m_min_open_time = 100ms; ///< First pause of the open breaker.
    duration m_max_open_time = 1s;    ///< Leases must be renewable again before they expire.
    std::uint64_t m_seed = 1;         ///< For the jitter; different on every entry VM.
};

using gate_call_id = std::uint64_t;

struct call_requested
{
    gate_call_id m_id = 0;
    call_kind m_kind = call_kind::read;
    call_priority m_priority = call_priority::normal;
};
/// A started call has finished; not healthy means that the platform itself failed.
struct call_finished
{
    gate_call_id m_id = 0;
    bool m_healthy = true;
};
/// The number of entry VMs that share the rate limit has changed.
struct vm_count_changed
{
    int m_vm_count = 1;
};
struct gate_tick
{
};
using gate_event = std::variant<call_requested, call_finished, vm_count_changed, gate_tick>;

struct start_call
{
    gate_call_id m_id = 0;
};
/// The call was not sent: its verdict is not_run.
struct reject_call
{
    gate_call_id m_id = 0;
    const char* m_detail = "";
};
using gate_action = std::variant<start_call, reject_call>;

/// Limits an entry VM's calls to the platform: token buckets keep them within its share of the rate
/// limit, few are in flight at once, and a circuit breaker pauses them while the platform fails.
/// Does no I/O and reads no clock.
class call_gate
{
public:
    explicit call_gate(call_gate_options options);

    std::vector<gate_action> handle(const gate_event& event, instant now);

    bool open(instant now) const { return now < m_open_until; }
    std::size_t waiting() const { return m_lease_calls.size() + m_normal_calls.size(); }
    int in_flight() const { return m_in_flight; }

private:
    using actions = std::vector<gate_action>;

    struct waiting_call
    {
        gate_call_id m_id = 0;
        call_kind m_kind = call_kind::read;
        instant m_queued_at{};
    };

    struct bucket
    {
        double m_tokens = 0;
        double m_per_s = 0;
    };

    void on(const call_requested& event, instant now, actions& out);
    void on(const call_finished& event, instant now, actions& out);
    void on(const vm_count_changed& event, instant now, actions& out);
    void on(const gate_tick& event, instant now, actions& out);

    void refill(instant now);
    void reject_expired(std::deque<waiting_call>& calls, instant now, actions& out) const;
    void reject_all(std::deque<waiting_call>& calls, actions& out) const;
    void start_waiting(std::deque<waiting_call>& calls, double reserve, actions& out);
    void start_probe(actions& out);
    void start(std::deque<waiting_call>& calls, actions& out);
    void open_breaker(instant now);
    bucket& bucket_of(call_kind kind) { return kind == call_kind::read ? m_reads : m_writes; }

    call_gate_options m_options;
    std::mt19937_64 m_random;
    bucket m_reads;
    bucket m_writes;
    std::deque<waiting_call> m_lease_calls;
    std::deque<waiting_call> m_normal_calls;
    int m_in_flight = 0;
    int m_consecutive_failures = 0;
    int m_times_opened = 0;
    instant m_open_until{};
    instant m_refilled_at{};
};

} // namespace dragonflygap::platform
