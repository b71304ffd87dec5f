#include "dragonflygap/cell/customer_keys.hpp"

#include <random>

#include <xxhash.h>

namespace dragonflygap::cell
{

namespace
{

// Another one in each process, so that nobody can choose keys that share a place in the table.
std::uint64_t process_seed()
{
    static const std::uint64_t seed = []
    {
        std::random_device random;
        constexpr int half = 32;
        return (static_cast<std::uint64_t>(random()) << half) | random();
    }();
    return seed;
}

std::uint64_t hash_of(std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), process_seed());
}

// Looks at every byte, wherever the first difference is.
bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

} // namespace

customer_keys::customer_keys(const cell_config& config)
{
    for (const auto& customer : config.m_customers)
        for (const auto& key : customer.m_keys)
        {
            if (key.empty() || customer.m_name.empty())
                continue;
            const auto hash = hash_of(key);
            const auto [first, last] = m_owners.equal_range(hash);
            auto known = first;
            while (known != last && known->second.m_key != key)
                ++known;
            if (known == last)
                m_owners.emplace(hash, owned_key{key, customer.m_name});
            else if (known->second.m_owner != customer.m_name)
                known->second.m_owner = {};
        }
    std::erase_if(m_owners, [](const auto& entry) { return entry.second.m_owner.empty(); });
}

const customer_id* customer_keys::find(std::string_view key) const
{
    const customer_id* owner = nullptr;
    const auto [first, last] = m_owners.equal_range(hash_of(key));
    for (auto entry = first; entry != last; ++entry)
        if (equal_in_constant_time(entry->second.m_key, key))
            owner = &entry->second.m_owner;
    return owner;
}

key_check check_key(const cell_config& config, const customer_keys& keys, const queue_rules& queue,
                    std::optional<std::string_view> key, bool confirmed)
{
    if (!config.m_keys_required)
        return {};
    const auto* customer = key && confirmed ? keys.find(*key) : nullptr;
    if (customer != nullptr)
        return {key_verdict::accepted, *customer};
    if (queue.m_anonymous_allowed)
        return {};
    if (!confirmed)
        return {key_verdict::unconfirmed, {}};
    return {key ? key_verdict::unknown : key_verdict::missing, {}};
}

std::string_view name_of(key_verdict verdict)
{
    switch (verdict)
    {
    case key_verdict::accepted:
        return "accepted";
    case key_verdict::missing:
        return "missing";
    case key_verdict::unknown:
        return "unknown";
    case key_verdict::unconfirmed:
        return "unconfirmed";
    }
    return "";
}

bool may_access(const customer_id& caller, const customer_id& owner)
{
    return caller.empty() || owner.empty() || caller == owner;
}

} // namespace dragonflygap::cell
