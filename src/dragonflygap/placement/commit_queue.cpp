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

// True if the row can only be there, or be as it is, because an earlier try took effect.
bool shows_effect(const platform::row_write& write, const std::vector<platform::row>& rows)
{
    const auto* row = find_row(rows, write.m_key);
    if (row == nullptr || row->m_version == 0 || !write.m_value)
        return false;
    const bool created = write.m_expected_version == 0; // keys are made once
    return created || row->m_value == *write.m_value;
}

} // namespace

std::uint64_t commit_queue::add(std::vector<platform::row_write> writes)
{
    m_waiting.push_back({.m_id = ++m_last_entry, .m_writes = std::move(writes)});
    return m_last_entry;
}

std::optional<commit_queue::transaction> commit_queue::next(instant now)
{
    if (!m_sent.empty() && now - m_sent_at >= m_options.m_call_timeout)
        retry_later(now, true);
    if (!m_sent.empty() || now < m_not_before)
        return std::nullopt;
    m_repeated = !m_doubtful.empty();
    m_sent = std::exchange(m_doubtful, {});
    std::size_t rows = 0;
    std::set<std::string> keys;
    while (!m_repeated && !m_waiting.empty())
    {
        auto& first = m_waiting.front();
        const bool full = rows + first.m_writes.size() > m_options.m_max_rows;
        // Two writes of a row would both pass a check of versions made before either.
        const bool overlaps = std::ranges::any_of(first.m_writes, [&keys](const auto& write)
                                                  { return keys.contains(write.m_key); });
        if (!m_sent.empty() && (full || overlaps || first.m_alone || m_sent.front().m_alone))
            break;
        rows += first.m_writes.size();
        m_sent.push_back(std::move(first));
        m_waiting.pop_front();
        for (const auto& write : m_sent.back().m_writes)
            keys.insert(write.m_key);
    }
    if (m_sent.empty())
        return std::nullopt;
    transaction result{.m_call = ++m_last_call};
    for (const auto& one : m_sent)
        result.m_writes.insert(result.m_writes.end(), one.m_writes.begin(), one.m_writes.end());
    m_sent_at = now;
    m_not_before = now + m_options.m_flush_every;
    return result;
}

void commit_queue::retry_later(instant now, bool doubtful)
{
    if (doubtful || m_repeated)
        m_doubtful = std::exchange(m_sent, {});
    else
        put_back();
    m_not_before = std::max(m_not_before, now + m_options.m_retry_after);
}

void commit_queue::put_back()
{
    for (auto it = m_sent.rbegin(); it != m_sent.rend(); ++it)
        m_waiting.push_front(std::move(*it));
    m_sent.clear();
}

std::vector<commit_queue::settled>
commit_queue::answered(std::uint64_t call, const outcome<platform::commit_result>& result,
                       instant now)
{
    if (call != m_last_call || m_sent.empty())
        return {};
    if (!result)
    {
        retry_later(now, result.error().m_verdict != verdict::not_run);
        return {};
    }
    if (result->m_committed)
        return settle_all(*result, true);
    const bool earlier =
        m_repeated && std::ranges::any_of(m_sent,
                                          [&](const entry& one)
                                          {
                                              return std::ranges::any_of(
                                                  one.m_writes, [&](const auto& write)
                                                  { return shows_effect(write, result->m_rows); });
                                          });
    if (earlier || m_sent.size() == 1)
        return settle_all(*result, earlier);
    // Some entry is out of date; the others are tried without it.
    for (auto& one : m_sent)
        one.m_alone = true;
    put_back();
    return {};
}

std::vector<commit_queue::settled> commit_queue::settle_all(const platform::commit_result& result,
                                                            bool committed)
{
    std::vector<settled> all;
    for (const auto& one : std::exchange(m_sent, {}))
    {
        settled done{.m_entry = one.m_id, .m_committed = committed};
        for (const auto& write : one.m_writes)
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
    return std::erase_if(m_doubtful, [id](const entry& one) { return one.m_id == id; }) != 0;
}

bool commit_queue::withdraw(std::uint64_t id)
{
    const auto found = std::ranges::find(m_waiting, id, &entry::m_id);
    if (found == m_waiting.end())
        return false;
    m_waiting.erase(found);
    return true;
}

} // namespace dragonflygap::placement
