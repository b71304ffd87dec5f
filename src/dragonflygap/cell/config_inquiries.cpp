#include "dragonflygap/cell/config_inquiries.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace dragonflygap::cell
{

config_inquiries::config_inquiries(config_inquiry_options options, std::uint64_t first_number)
    : m_options(options), m_seed(first_number), m_last_number(first_number)
{
}

// Near and far peers take turns, as a data centre may be cut off as a whole, or from the store.
void config_inquiries::set_peers(std::vector<vm_id> near, std::vector<vm_id> far)
{
    // Each VM and each process has an order of its own, so that not all ask the same peers.
    std::mt19937_64 random(m_seed);
    for (auto* peers : {&near, &far})
    {
        std::sort(peers->begin(), peers->end());
        std::shuffle(peers->begin(), peers->end(), random);
    }
    m_peers.clear();
    for (std::size_t i = 0; i < std::max(near.size(), far.size()); ++i)
        for (auto* peers : {&near, &far})
            if (i < peers->size())
                m_peers.push_back(std::move((*peers)[i]));
}

// A VM that has never reached the store knows no other peers.
void config_inquiries::add_peer(const vm_id& peer)
{
    const auto known = std::find(m_peers.begin(), m_peers.end(), peer);
    const auto number = static_cast<std::size_t>(known - m_peers.begin());
    if (known == m_peers.end())
        m_peers.push_back(peer);
    m_next_peer = number;
}

std::vector<config_inquiries::inquiry> config_inquiries::next(bool needed, instant now)
{
    if (!needed)
    {
        m_rounds = 0;
        m_next_at = {};
        return {};
    }
    if (now < m_next_at || m_peers.empty())
        return {};
    forget(now);
    const bool confirmed =
        m_confirming_peer && now - m_last_confirmed_at <= 2 * m_options.m_confirmed_interval;
    if (confirmed)
    {
        m_next_at = now + m_options.m_confirmed_interval;
        return {ask(*m_confirming_peer, now)};
    }
    m_confirming_peer.reset();
    constexpr std::size_t max_doublings = 8;
    const auto doublings = ++m_rounds > m_options.m_quick_rounds
                               ? std::min(max_doublings, m_rounds - m_options.m_quick_rounds)
                               : 0;
    m_next_at = now + std::min(m_options.m_max_interval, m_options.m_interval * (1 << doublings));
    std::vector<inquiry> result;
    for (std::size_t i = 0; i < std::min(m_options.m_peers_per_round, m_peers.size()); ++i)
        result.push_back(ask(m_peers[m_next_peer++ % m_peers.size()], now));
    return result;
}

config_inquiries::inquiry config_inquiries::ask(const vm_id& peer, instant now)
{
    m_sent[++m_last_number] = now;
    return {m_last_number, peer};
}

void config_inquiries::forget(instant now)
{
    std::erase_if(m_sent, [&](const auto& entry)
                  { return now - entry.second > m_options.m_answer_timeout; });
    std::erase_if(m_inquirers, [&](const auto& entry)
                  { return now - entry.second.m_at > m_options.m_inquirer_retention; });
}

std::optional<instant> config_inquiries::sent_at(std::uint64_t number, instant now) const
{
    const auto found = m_sent.find(number);
    if (found == m_sent.end() || now - found->second > m_options.m_answer_timeout)
        return std::nullopt;
    return found->second;
}

void config_inquiries::confirmed(const vm_id& peer, instant now)
{
    m_confirming_peer = peer;
    m_last_confirmed_at = now;
    m_rounds = 0;
}

void config_inquiries::asked_by(const vm_id& peer, std::uint64_t version, instant now)
{
    forget(now);
    m_inquirers[peer] = {version, now};
}

std::vector<vm_id> config_inquiries::peers_behind(std::uint64_t version, instant now) const
{
    std::vector<vm_id> result;
    for (const auto& [peer, asked] : m_inquirers)
        if (asked.m_version < version && now - asked.m_at <= m_options.m_inquirer_retention)
            result.push_back(peer);
    return result;
}

} // namespace dragonflygap::cell
