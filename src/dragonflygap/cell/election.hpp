#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct election_options
{
    duration m_watch_delay = 280ms; ///< After one missed heartbeat the row is read, to detect early
                                    ///< that it is no longer written.
    duration m_heartbeat_timeout = 500ms; ///< Without a heartbeat for longer, the leader is silent.
    duration m_row_timeout = 400ms;       ///< Unchanged for longer, the row has no writer; a leader
                                          ///< rewrites it every 200 ms.
    duration m_read_interval = 120ms;     ///< Between reads of the row while there is no leader.
    duration m_max_store_age = 900ms; ///< A leader without the store for longer may be replaced; a
                                      ///< slow store answers within 550 ms.
    duration m_rank_delay = 60ms;     ///< Staggers the campaigns of the members.
};

/// Decides when this VM campaigns to become the leader. The takeover is a compare-and-set of the
/// leader's row, so a wrong decision only causes an unnecessary change of leader. Does no I/O.
class election
{
public:
    enum class advice
    {
        wait,
        read_row, ///< Read the leader's row and the members, then call row_read() or read_failed().
        campaign, ///< Write the leader's row, provided that it is unchanged since the last read.
    };

    election(election_options options, vm_id self, instant now);

    void heartbeat(std::uint64_t epoch, std::uint64_t commit, duration store_age, bool resigns,
                   instant now);

    /// rank: this VM's position among the members, 0 for the first.
    void row_read(const std::optional<leader_record>& row, std::uint64_t version, int rank,
                  instant now);
    void read_failed(instant now);

    /// Another VM wrote the row, or the answer was lost: start over.
    void campaign_failed(instant now);

    advice next(instant now);

    const std::optional<leader_record>& row() const { return m_row; }
    std::uint64_t row_version() const { return m_version; }

private:
    election_options m_options;
    vm_id m_self;
    std::uint64_t m_epoch = 0;
    instant m_last_heartbeat;
    bool m_heartbeat_received = false;
    duration m_store_age{};
    bool m_leader_resigned = false;
    std::optional<leader_record> m_row;
    std::uint64_t m_version = 0;
    int m_rank = 0;
    /// First read of the row's current version; zero: not read yet.
    instant m_row_unchanged_since{};
    instant m_next_read_at{};
    bool m_request_pending = false;
};

} // namespace dragonflygap::cell
