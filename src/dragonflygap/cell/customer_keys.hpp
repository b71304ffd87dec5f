#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dragonflygap/cell/queue_rules.hpp"

namespace dragonflygap::cell
{

/// The keys of one version of the configuration. A look-up costs the same for any number of keys,
/// and its time doesn't tell how much of a key is right.
class customer_keys
{
public:
    /// No keys.
    customer_keys() = default;
    /// A key that is listed for several customers identifies none of them.
    explicit customer_keys(const cell_config& config);

    /// nullptr if no customer has this key.
    const customer_id* find(std::string_view key) const;

    std::size_t size() const { return m_owners.size(); }

private:
    struct owned_key
    {
        std::string m_key;
        customer_id m_owner;
    };

    std::unordered_multimap<std::uint64_t, owned_key> m_owners; ///< By hash of the key.
};

/// Whether a call may use its queue.
enum class key_verdict
{
    accepted,
    missing,     ///< The queue needs a key.
    unknown,     ///< The key belongs to no customer.
    unconfirmed, ///< This VM can't tell which keys are valid at present.
};

struct key_check
{
    key_verdict m_verdict = key_verdict::accepted;
    customer_id m_customer; ///< Empty: none.
};

/// Checks the key of a call; nothing if it has none. confirmed: the keys of the configuration may
/// be accepted. Without the list of customers nothing is checked.
key_check check_key(const cell_config& config, const customer_keys& keys, const queue_rules& queue,
                    std::optional<std::string_view> key, bool confirmed);

/// Name of a verdict in metrics.
std::string_view name_of(key_verdict verdict);

/// True if a call of a customer may concern a job. Calls through anonymous queues and jobs of
/// earlier builds have no customer, which matches all.
bool may_access(const customer_id& caller, const customer_id& owner);

} // namespace dragonflygap::cell
