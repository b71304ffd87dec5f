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
    duration m_watch_after = 280ms;     ///< Without a heartbeat for longer (one is missing), the
                                        ///< row is read, so that its standing still shows early.
    duration m_heartbeat_limit = 500ms; ///< Without a heartbeat for longer, a leader is silent.
    duration m_row_limit = 400ms;       ///< A row that stays unchanged for longer has no writer: a
                                        ///< leader rewrites it every 200 ms.
    duration m_read_every = 120ms;      ///< Between readings of the row without a leader.
    duration m_store_age_limit = 900ms; ///< A leader that the store doesn't answer for longer may
                                        ///< be replaced; a slow store answers within 550 ms.
    duration m_rank_step = 60ms;        ///< Members try one after another.
};

/// Decides when this VM tries to become the leader. The take-over itself is a conditional write
/// to the leader's row, so a wrong decision costs a change of leader and nothing else. Pure.
class election
{
public:
    enum class advice
    {
        wait,
        read_row, ///< Read the leader's row and the members, and report them by row_read().
        campaign, ///< Write the leader's row under the condition that it is as last read.
    };

    election(election_options options, vm_id self, instant now);

    void heartbeat(std::uint64_t epoch, std::uint64_t commit, duration store_age, bool resigns,
                   instant now);

    /// rank: this VM's place among the members, 0 for the first.
    void row_read(const std::optional<leader_record>& row, std::uint64_t version, int rank,
                  instant now);
    void read_failed(instant now);

    /// The row was written by another VM, or the answer was lost: begin anew.
    void campaign_failed(instant now);

    advice next(instant now);

    const std::optional<leader_record>& row() const { return m_row; }
    std::uint64_t row_version() const { return m_version; }

private:
    election_options m_options;
    vm_id m_self;
    std::uint64_t m_epoch = 0;
    instant m_last_heartbeat;
    bool m_heard = false;
    duration m_store_age{};
    bool m_resigned = false;
    std::optional<leader_record> m_row;
    std::uint64_t m_version = 0;
    int m_rank = 0;
    instant m_row_since{}; ///< When the row was first read as it is; zero: not read.
    instant m_next_read{};
    bool m_busy = false;
};

} // namespace dragonflygap::cell
