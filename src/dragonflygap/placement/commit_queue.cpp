#include "dragonflygap/placement/commit_queue.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

const platform::row* find_row(const std::vector<platform::row>& rows, const std::string& key)
{
    const auto found = std::ranges::find(rows, key, &platform::row::m_key);
    return found == rows.end() ? nullptr : &*found;
}

// True if the row shows that an earlier attempt took effect.
bool shows_effect(const platform::row_write& write, const std::vector<platform::row>& rows)
{
    const auto* row = find_row(rows, write.m_key);
    if (row == nullptr || row->m_version == 0 || !write.m_value)
        return false;
    const bool created = write.m_expected_version == 0; // keys are never reused
    return created || row->m_value == *write.m_value;
}

} // namespace

std::uint64_t commit_queue::add(std::vector<platform::row_write> writes)
{
    m_pending.push_back({.m_id = ++m_last_entry, .m_writes = std::move(writes)});
    return m_last_entry;
}

std::optional<commit_queue::transaction> commit_queue::next(instant now)
{
    if (!m_in_flight.empty() && now - m_sent_at >= m_options.m_call_timeout)
        retry_later(now, true);
    if (!m_in_flight.empty() || now < m_not_before)
        return std::nullopt;
    m_retrying = !m_uncertain.empty();
    m_in_flight = std::exchange(m_uncertain, {});
    std::size_t rows = 0;
    std::set<std::string> keys;
    while (!m_retrying && !m_pending.empty())
    {
        auto& first = m_pending.front();
        const bool full = rows + first.m_writes.size() > m_options.m_max_rows;
        // Two writes of one row would both pass the version check, which precedes all writes.
        const bool overlaps = std::ranges::any_of(first.m_writes, [&keys](const auto& write)
                                                  { return keys.contains(write.m_key); });
        if (!m_in_flight.empty() &&
            (full || overlaps || first.m_isolated || m_in_flight.front().m_isolated))
            break;
        rows += first.m_writes.size();
        m_in_flight.push_back(std::move(first));
        m_pending.pop_front();
        for (const auto& write : m_in_flight.back().m_writes)
            keys.insert(write.m_key);
    }
    if (m_in_flight.empty())
        return std::nullopt;
    transaction result{.m_call = ++m_last_call};
    for (const auto& item : m_in_flight)
        result.m_writes.insert(result.m_writes.end(), item.m_writes.begin(), item.m_writes.end());
    m_sent_at = now;
    m_not_before = now + m_options.m_flush_interval;
    return result;
}

void commit_queue::retry_later(instant now, bool uncertain)
{
    if (uncertain || m_retrying)
        m_uncertain = std::exchange(m_in_flight, {});
    else
        requeue();
    m_not_before = std::max(m_not_before, now + m_options.m_retry_delay);
}

void commit_queue::requeue()
{
    for (auto it = m_in_flight.rbegin(); it != m_in_flight.rend(); ++it)
        m_pending.push_front(std::move(*it));
    m_in_flight.clear();
}

std::vector<commit_queue::completion>
commit_queue::handle_result(std::uint64_t call, const outcome<platform::commit_result>& result,
                            instant now)
{
    if (call != m_last_call || m_in_flight.empty())
        return {};
    if (!result)
    {
        retry_later(now, result.error().m_verdict != verdict::not_run);
        return {};
    }
    if (result->m_committed)
        return complete_all(*result, true);
    const bool took_effect =
        m_retrying && std::ranges::any_of(m_in_flight,
                                          [&](const entry& item)
                                          {
                                              return std::ranges::any_of(
                                                  item.m_writes, [&](const auto& write)
                                                  { return shows_effect(write, result->m_rows); });
                                          });
    if (took_effect || m_in_flight.size() == 1)
        return complete_all(*result, took_effect);
    // At least one entry is outdated: retry each alone, so that the others commit.
    for (auto& item : m_in_flight)
        item.m_isolated = true;
    requeue();
    return {};
}

std::vector<commit_queue::completion>
commit_queue::complete_all(const platform::commit_result& result, bool committed)
{
    std::vector<completion> all;
    for (const auto& item : std::exchange(m_in_flight, {}))
    {
        completion done{.m_entry = item.m_id, .m_committed = committed};
        for (const auto& write : item.m_writes)
            if (const auto* row = find_row(result.m_rows, write.m_key))
                done.m_rows.push_back(*row);
        all.push_back(std::move(done));
    }
    return all;
}

bool commit_queue::abandon(std::uint64_t id)
{
    if (withdraw(id))
        return true;
    return std::erase_if(m_uncertain, [id](const entry& item) { return item.m_id == id; }) != 0;
}

bool commit_queue::withdraw(std::uint64_t id)
{
    const auto found = std::ranges::find(m_pending, id, &entry::m_id);
    if (found == m_pending.end())
        return false;
    m_pending.erase(found);
    return true;
}

} // namespace dragonflygap::placement
