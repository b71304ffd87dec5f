#include <algorithm>
#include <chrono>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

/// Whether this VM still leads the cell, and whether the store answers it.
namespace dragonflygap::cell
{

bool coordinator::store_unavailable() const
{
    // Without changes the leader's row is still rewritten several times within this timeout.
    return store_age() > m_options.m_store_timeout;
}

// For every VM, not only for a leader that is late or cut off.
bool coordinator::store_down() const
{
    return store_unavailable() && m_now - m_store_heard_at > m_options.m_store_down_timeout;
}

// A pause of this VM tells nothing about the store.
duration coordinator::store_age() const
{
    return m_now - std::max({m_chain.last_success_at(), m_taken_over_at, m_resumed_at});
}

// Without this, a successor may count on it that the worker's leases run out.
bool coordinator::leadership_confirmed() const
{
    return !awaits_confirmation() && m_now - confirmed_at() < m_options.m_renewal_store_timeout;
}

// While this VM was paused a successor may have run the tasks that seem to wait here, and renewed
// the leases that seem to be over.
bool coordinator::awaits_confirmation() const
{
    return confirmed_at() < m_resumed_at;
}

instant coordinator::confirmed_at() const
{
    return std::max(m_chain.confirmed_at(), m_elected_at);
}

void coordinator::check_pause(instant now, std::int64_t unix_ms)
{
    // The steady clock of a VM that was suspended may not count that time.
    const duration by_wall_clock =
        m_unix_ms == 0 ? duration{} : std::chrono::milliseconds(unix_ms - m_unix_ms);
    const auto pause = std::max<duration>(now - m_now, by_wall_clock);
    if (pause < m_options.m_max_pause)
        return;
    m_resumed_at = now;
    log_event(log_level::info, "leader_resumed",
              {{"epoch", m_chain.record().m_epoch},
               {"pause_ms", to_ms(pause)},
               {"confirmed_ms_ago", to_ms(now - confirmed_at())}});
}

} // namespace dragonflygap::cell
