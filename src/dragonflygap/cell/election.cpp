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
    m_heard = true;
    m_last_heartbeat = now;
    m_store_age = store_age;
    m_resigned = m_resigned || resigns;
    if (!m_resigned && store_age <= m_options.m_store_age_limit)
        m_row_since = {};
}

void election::row_read(const std::optional<leader_record>& row, std::uint64_t version, int rank,
                        instant now)
{
    m_busy = false;
    m_next_read = now + m_options.m_read_every;
    m_rank = rank;
    if (m_row_since == instant{} || version != m_version)
        m_row_since = now;
    m_row = row;
    m_version = version;
    if (row && row->m_epoch > m_epoch)
    {
        m_epoch = row->m_epoch;
        m_resigned = false;
    }
}

void election::read_failed(instant now)
{
    m_busy = false;
    m_next_read = now + m_options.m_read_every;
    m_row_since = {};
}

void election::campaign_failed(instant now)
{
    m_busy = false;
    m_resigned = false;
    m_row_since = {};
    m_last_heartbeat = now;
    m_next_read = now + m_options.m_read_every;
}

election::advice election::next(instant now)
{
    const auto silence = now - m_last_heartbeat;
    const bool silent = !m_heard || silence > m_options.m_heartbeat_limit;
    const bool watching = silent || silence > m_options.m_watch_after;
    const bool powerless = m_store_age > m_options.m_store_age_limit;
    if (m_busy || !(watching || powerless || m_resigned) || now < m_next_read)
        return advice::wait;
    if (m_row_since != instant{} && (silent || powerless || m_resigned))
    {
        // The row of this VM's own earlier life, and none at all, have no writer.
        const bool vacant = !m_row || m_row->m_vm == m_self || m_resigned;
        const duration quiet = m_options.m_row_limit + m_rank * m_options.m_rank_step;
        if ((vacant &&
             now - m_row_since >= (m_row ? duration{} : m_rank * m_options.m_rank_step)) ||
            now - m_row_since >= quiet)
        {
            m_busy = true;
            return advice::campaign;
        }
    }
    m_busy = true;
    return advice::read_row;
}

} // namespace dragonflygap::cell
