#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "dragonflygap/request/key_claim.hpp"

namespace dragonflygap::request
{

/// Caches the answers to idempotent requests with keys on this entry VM; evicts the oldest first.
class answer_cache
{
public:
    struct entry
    {
        std::string m_fingerprint;
        stored_answer m_answer;
    };

    /// The answers take at most max_entries * max_answer_bytes of memory, plus the keys.
    answer_cache(std::size_t max_entries, std::size_t max_answer_bytes)
        : m_max_entries(max_entries), m_max_answer_bytes(max_answer_bytes)
    {
    }

    const entry* find(const std::string& key) const
    {
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? nullptr : &found->second;
    }

    void put(const std::string& key, entry added)
    {
        if (added.m_answer.m_body.size() > m_max_answer_bytes)
            return;
        if (!m_entries.insert_or_assign(key, std::move(added)).second)
            return;
        m_insertion_order.push_back(key);
        if (m_insertion_order.size() <= m_max_entries)
            return;
        m_entries.erase(m_insertion_order.front());
        m_insertion_order.pop_front();
    }

private:
    std::size_t m_max_entries;
    std::size_t m_max_answer_bytes;
    std::deque<std::string> m_insertion_order;
    std::unordered_map<std::string, entry> m_entries;
};

} // namespace dragonflygap::request
