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
    std::optional<cell::leader_record> m_before; ///< The leader's row as read.
    std::uint64_t m_version = 0;                 ///< Its version; 0: there is none.
    std::int64_t m_unix_ms = 0;                  ///< Time of day.
    bool m_predecessor_gone = false;
    duration m_timeout = 2s; ///< For each call to the store.
};

/// Writes the leader's row with the next epoch, under the condition that it hasn't changed, then
/// reads what the leader before has left. done gets a failure if another VM was faster or the
/// store doesn't answer; the row then tells who leads.
void take_over(takeover_options options, std::function<void(outcome<cell::recovered_state>)> done);

} // namespace dragonflygap::node
