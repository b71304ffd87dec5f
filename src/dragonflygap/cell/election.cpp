#include "dragonflygap/cell/election.hpp"

#include <utility>

namespace dragonflygap::cell
{

election::election(election_options options, vm_id self, instant now)
    : m_options(options), m_self(std::move(self)), m_last_heartbeat(now)
{
}

void election::heartbeat(std::uint64_t epoch, std::uint64_t, duration store_age, bool resigns,
                         instant now)
{
    if (epoch < m_epoch)
        return;
    m_epoch = epoch;
    m_heartbeat_received = true;
    m_last_heartbeat = now;
    m_store_age = store_age;
    m_leader_resigned = m_leader_resigned || resigns;
    if (!m_leader_resigned && store_age <= m_options.m_max_store_age)
        m_row_unchanged_since = {};
}

void election::row_read(const std::optional<leader_record>& row, std::uint64_t version, int rank,
                        instant now)
{
    m_request_pending = false;
    m_next_read_at = now + m_options.m_read_interval;
    m_rank = rank;
    if (m_row_unchanged_since == instant{} || version != m_version)
        m_row_unchanged_since = now;
    m_row = row;
    m_version = version;
    if (row && row->m_epoch > m_epoch)
    {
        m_epoch = row->m_epoch;
        m_leader_resigned = false;
    }
}

void election::read_failed(instant now)
{
    m_request_pending = false;
    m_next_read_at = now + m_options.m_read_interval;
    m_row_unchanged_since = {};
}

void election::campaign_failed(instant now)
{
    m_request_pending = false;
    m_leader_resigned = false;
    m_row_unchanged_since = {};
    m_last_heartbeat = now;
    m_next_read_at = now + m_options.m_read_interval;
}

election::advice election::next(instant now)
{
    const auto silence = now - m_last_heartbeat;
    const bool silent = !m_heartbeat_received || silence > m_options.m_heartbeat_timeout;
    const bool watching = silent || silence > m_options.m_watch_delay;
    const bool store_unreachable = m_store_age > m_options.m_max_store_age;
    if (m_request_pending || !(watching || store_unreachable || m_leader_resigned) ||
        now < m_next_read_at)
        return advice::wait;
    if (m_row_unchanged_since != instant{} && (silent || store_unreachable || m_leader_resigned))
    {
        // Nobody writes the row if it is missing, belongs to an earlier incarnation of this VM, or
        // its leader resigned.
        const bool ownerless = !m_row || m_row->m_vm == m_self || m_leader_resigned;
        const duration row_timeout = m_options.m_row_timeout + m_rank * m_options.m_rank_delay;
        if ((ownerless && now - m_row_unchanged_since >=
                              (m_row ? duration{} : m_rank * m_options.m_rank_delay)) ||
            now - m_row_unchanged_since >= row_timeout)
        {
            m_request_pending = true;
            return advice::campaign;
        }
    }
    m_request_pending = true;
    return advice::read_row;
}

} // namespace dragonflygap::cell
