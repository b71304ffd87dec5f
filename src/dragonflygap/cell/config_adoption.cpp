#include "dragonflygap/cell/config_adoption.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

config_adoption::config_adoption(config_adoption_options options, instant started_at)
    : m_options(options), m_started_at(started_at), m_ticked_at(started_at)
{
}

bool config_adoption::offer_from_store(cell_config config)
{
    if (m_in_force && config.m_version <= m_in_force->m_version)
        return false;
    m_in_force = std::move(config);
    // Of two versions the newer one counts, as the store's may have been written by mistake.
    if (m_unconfirmed && m_unconfirmed->m_version > m_in_force->m_version)
        m_in_force = std::move(*m_unconfirmed);
    m_unconfirmed.reset();
    return true;
}

// Before it restarted, the VM may have served a newer version than this peer knows. A key that was
// removed since must not be accepted again; without keys, serving at once is worth more.
bool config_adoption::offer_from_peer(cell_config config)
{
    const auto& newest = m_in_force ? m_in_force : m_unconfirmed;
    if (newest && config.m_version <= newest->m_version)
        return false;
    if (!m_in_force && config.m_keys_required)
    {
        m_unconfirmed = std::move(config);
        return false;
    }
    m_in_force = std::move(config);
    return true;
}

void config_adoption::confirm_by_store(instant sent_at)
{
    if (m_in_force)
        m_confirmed_at = std::max(m_confirmed_at, sent_at);
}

bool config_adoption::confirm_by_peer(std::uint64_t version, instant at)
{
    if (m_in_force)
    {
        if (m_in_force->m_version >= version)
            m_confirmed_at = std::max(m_confirmed_at, at);
        return false;
    }
    if (!m_unconfirmed || m_unconfirmed->m_version < version || at < m_started_at)
        return false;
    m_in_force = std::exchange(m_unconfirmed, std::nullopt);
    m_confirmed_at = at;
    return true;
}

void config_adoption::tick(instant now)
{
    if (now - m_ticked_at > m_options.m_max_pause)
        m_resumed_at = now;
    m_ticked_at = now;
}

std::uint64_t config_adoption::newest_version() const
{
    if (m_in_force)
        return m_in_force->m_version;
    return m_unconfirmed ? m_unconfirmed->m_version : 0;
}

// A VM that was paused doesn't know yet what it missed. If it is cut off from everyone, it goes on
// like a VM that wasn't paused.
bool config_adoption::rechecks(instant now) const
{
    if (now - m_confirmed_at <= m_options.m_spread_time)
        return false;
    const bool pause_unnoticed = now - m_ticked_at > m_options.m_max_pause;
    const bool resumed =
        m_resumed_at != instant{} && now - m_resumed_at <= m_options.m_max_recheck_time;
    return pause_unnoticed || resumed;
}

bool config_adoption::may_accept_keys(instant now) const
{
    const bool expired =
        m_options.m_keys_expire > duration{} &&
        (m_confirmed_at == instant{} || now - m_confirmed_at > m_options.m_keys_expire);
    return !expired && !rechecks(now);
}

bool config_adoption::awaits_confirmation(instant now) const
{
    if (!m_in_force)
        return m_unconfirmed.has_value();
    return rechecks(now) || (m_options.m_keys_expire > duration{} &&
                             now - m_confirmed_at > m_options.m_keys_expire / 2);
}

} // namespace dragonflygap::cell
