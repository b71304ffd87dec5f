#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/row_split.hpp"

namespace dragonflygap::cell
{

// Jobs of an earlier leader wait for silent workers until the leases there have run out. Each
// leader stores that time, by the store's clock, and which workers it doesn't use: their leases
// can't be prolonged, so the time doesn't begin anew with the next leader.
void coordinator::restore_workers(const recovered_state& found)
{
    m_predecessor_leases_until = lease_end();
    if (!found.m_predecessor_gone)
        m_predecessor_leases_until += m_options.m_renewal_store_timeout;
    m_store_clock_known = found.m_store_ms != 0;
    // The store's clock was read after the takeover was sent.
    if (m_store_clock_known)
        m_predecessor_leases_until_ms =
            found.m_store_ms + to_ms(m_predecessor_leases_until - m_elected_at);
    std::vector<worker_state*> workers;
    for (const auto& [id, address] : found.m_workers)
    {
        auto& worker = add_worker(id);
        worker.m_info.m_address = parse_endpoint(address).value_or(endpoint{});
        worker.m_listed = false;
        worker.m_unlisted_since = m_now;
        set_earlier_leases(worker, m_predecessor_leases_until, m_predecessor_leases_until_ms);
        workers.push_back(&worker);
    }
    m_workers_dirty = true;
    m_worker_rows = found.m_worker_rows;
    m_store_clock_ms = found.m_store_ms;
    m_store_clock_at = m_elected_at;
    const auto stored_since = found.m_self.m_uses_stored_since;
    m_uses_stored = stored_since != 0 && found.m_workers_epoch >= stored_since;
    restore_uses(found, workers);
    restore_lives(found, workers);
}

void coordinator::restore_uses(const recovered_state& found, std::span<worker_state* const> workers)
{
    if (!m_store_clock_known)
        return;
    for (const auto& group : found.m_unheard)
        for (const auto position : group.m_positions)
        {
            if (position >= workers.size())
                continue;
            auto& worker = *workers[position];
            const bool used = group.m_used || !m_uses_stored;
            if (!used)
                worker.m_use = worker_use::none;
            if (used && group.m_leases_until_ms <= worker.m_earlier_leases_until_ms)
                continue;
            const auto remaining_ms =
                std::max<std::int64_t>(0, group.m_leases_until_ms - found.m_store_ms);
            set_earlier_leases(worker, m_now + std::chrono::milliseconds(remaining_ms),
                               group.m_leases_until_ms);
        }
}

// A newly listed worker. If no earlier leader can have used it, nothing waits for its report.
void coordinator::begin_use(worker_state& worker)
{
    worker.m_use = worker_use::pending;
    if (m_uses_stored)
        return;
    set_earlier_leases(worker, m_predecessor_leases_until, m_predecessor_leases_until_ms);
}

void coordinator::set_earlier_leases(worker_state& worker, instant until, std::int64_t until_ms)
{
    worker.m_earlier_leases_until = until;
    worker.m_earlier_leases_until_ms = until_ms;
    m_earlier_leases_until = std::max(m_earlier_leases_until, until);
}

bool coordinator::may_use(const worker_state& worker) const
{
    return worker.m_use == worker_use::allowed && leadership_confirmed();
}

// True if a renewal has had no answer for a while.
bool coordinator::is_silent(const worker_state& worker) const
{
    constexpr duration answer_timeout = 500ms; // workers answer within milliseconds
    const bool failing = worker.m_failing_since != instant{};
    const auto since = failing ? worker.m_failing_since : worker.m_renewal_sent_at;
    return (failing || worker.m_renewing) && m_now - since >= answer_timeout;
}

// A worker that doesn't answer isn't used any more, and its successors learn that from the store.
void coordinator::give_up_if_silent(worker_state& worker)
{
    if (!m_store_clock_known || worker.m_use != worker_use::allowed || worker.m_synced ||
        !is_silent(worker))
        return;
    worker.m_use = worker_use::none;
    m_workers_dirty = true;
}

// The worker obeys no earlier leader any more. Once it has reported all ends, its tasks are known.
void coordinator::record_report(worker_state& worker)
{
    if (worker.m_synced)
    {
        worker.m_earlier_leases_until = {};
        worker.m_earlier_leases_until_ms = 0;
    }
    if (worker.m_use != worker_use::none)
        return;
    worker.m_use = worker_use::pending;
    m_workers_dirty = true;
}

void coordinator::store_workers(transaction& change, batch& contents)
{
    workers_record record{.m_epoch = m_chain.record().m_epoch};
    std::map<std::pair<std::int64_t, bool>, std::vector<std::uint32_t>> unheard;
    for (const auto& [id, worker] : m_workers)
    {
        const auto position = static_cast<std::uint32_t>(record.m_workers.size());
        record.m_workers.emplace_back(id, to_string(worker.m_info.m_address));
        record.m_lives.push_back(life_of(worker));
        const bool used = worker.m_use != worker_use::none;
        if (!used || worker.m_earlier_leases_until_ms != 0)
            unheard[{worker.m_earlier_leases_until_ms, used}].push_back(position);
        if (worker.m_use == worker_use::pending)
            contents.m_used.push_back(id);
    }
    for (auto& [key, positions] : unheard)
        record.m_unheard.push_back({key.first, key.second, std::move(positions)});
    auto rows = pack_workers(record);
    for (std::size_t i = 0; i < rows.size(); ++i)
        change.m_writes.push_back(
            {{std::string(workers_table), row_key(workers_key, i)}, std::move(rows[i])});
    for (auto i = rows.size(); i < m_worker_rows; ++i)
        change.m_deletes.push_back({std::string(workers_table), row_key(workers_key, i)});
    m_worker_rows = std::max(m_worker_rows, rows.size());
    contents.m_workers = true;
    m_workers_dirty = false;
}

void coordinator::allow_used_workers(const batch& contents)
{
    for (const auto& id : contents.m_used)
        if (auto* worker = find_worker(id);
            worker != nullptr && worker->m_use == worker_use::pending)
        {
            worker->m_use = worker_use::allowed;
            worker->m_next_renewal = m_now;
        }
}

} // namespace dragonflygap::cell
