#pragma once

#include <functional>
#include <memory>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"

namespace dragonflygap::node
{

struct takeover_options
{
    cell::store_port m_store;
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    std::optional<cell::leader_record> m_predecessor; ///< The leader's row as last read.
    std::uint64_t m_version = 0;                      ///< Version of that row; 0: no row.
    std::int64_t m_unix_ms = 0;                       ///< Wall-clock time.
    instant m_now{};
    bool m_predecessor_gone = false;
    duration m_timeout = 2s; ///< For each call to the store.
};

/// Writes the leader's row with the next epoch by compare-and-set, then reads the state that the
/// predecessor left. done receives a failure if another VM won, and the row then names the leader,
/// or if the store doesn't answer.
void take_over(takeover_options options, std::function<void(outcome<cell::recovered_state>)> done);

} // namespace dragonflygap::node
