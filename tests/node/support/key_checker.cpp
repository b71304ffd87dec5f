#include "node/support/key_checker.hpp"

#include <algorithm>
#include <iterator>

namespace stand_in
{

namespace
{

constexpr std::int64_t bound_ms = 3000;        // from the store's acknowledgement
constexpr std::int64_t caller_delay_ms = 4500; // until callers use a new key
constexpr int unauthorized = 401;
constexpr int unavailable = 503;

} // namespace

key_checker::key_checker(cell_world& world, unsigned seed) : m_world(world), m_random(seed)
{
    for (const auto& [customer, keys] : m_world.m_keys)
        for (const auto& key : keys)
            m_issued[key] = {customer, m_world.now_ms()};
}

// A VM can know the newest version if it reaches the store, or a VM that does.
bool key_checker::is_informed(const std::string& vm)
{
    const auto runs = [this](const std::string& name)
    { return m_world.find(name) != nullptr && !m_world.is_frozen(name); };
    if (!runs(vm) || m_world.rows().m_faults.m_down)
        return false;
    if (!m_world.is_cut(vm, "store"))
        return true;
    for (int i = 0; i < m_world.options().m_vms; ++i)
        if (const auto peer = "vm" + std::to_string(i);
            peer != vm && runs(peer) && !m_world.is_cut(vm, peer) && !m_world.is_cut(peer, "store"))
            return true;
    return false;
}

void key_checker::sample()
{
    const auto vms = m_world.options().m_vms;
    for (int i = 0; i < vms; ++i)
        if (const auto vm = "vm" + std::to_string(i); !is_informed(vm))
            m_uninformed_ms[vm] = m_world.now_ms();
    for (auto& [key, issued] : m_issued)
        if (issued.m_removed_ms < 0 && m_world.now_ms() - issued.m_added_ms > caller_delay_ms &&
            key == m_world.m_keys[issued.m_customer].back())
            m_world.m_caller_keys[issued.m_customer] = key;
    const auto vm = "vm" + std::to_string(m_random() % static_cast<unsigned>(vms));
    auto key = m_issued.begin();
    std::advance(key, static_cast<std::ptrdiff_t>(m_random() % m_issued.size()));
    constexpr int unknown_key_interval = 8;
    try_key(vm, m_random() % unknown_key_interval == 0 ? "never-issued" : key->first);
}

void key_checker::change()
{
    const auto number = m_random() % m_world.m_keys.size();
    auto entry = m_world.m_keys.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(number));
    auto& [customer, keys] = *entry;
    if (keys.size() == 1)
    {
        keys.push_back("key-" + std::to_string(++m_last_key) + "-of-" + customer);
        m_issued[keys.back()] = {customer, m_world.now_ms()};
    }
    else if (m_world.m_caller_keys[customer] == keys.back())
    {
        m_issued[keys.front()].m_removed_ms = m_world.now_ms();
        keys.erase(keys.begin());
    }
    ++m_changes;
    m_world.change_config();
}

void key_checker::try_key(const std::string& vm, const std::string& key)
{
    ++m_tries;
    m_world.send(vm, {.m_path = "/q/", .m_headers = {{"Authorization", "Bearer " + key}}},
                 [this, vm, key](const http_response& response)
                 { check(vm, key, response.m_status); });
}

void key_checker::check(const std::string& vm, const std::string& key, int status)
{
    const bool refused = status == unauthorized;
    const bool accepted = !refused && status != unavailable;
    const auto fail = [&](const std::string& text)
    {
        m_violations.push_back("at " + std::to_string(m_world.now_ms()) + " ms " + vm +
                               " answers " + std::to_string(status) + " to key " + key + ": " +
                               text);
    };
    const auto found = m_issued.find(key);
    if (found == m_issued.end())
    {
        if (accepted)
            fail("nobody has it");
        return;
    }
    const auto& issued = found->second;
    const bool removed = issued.m_removed_ms >= 0;
    const auto changed_ms = removed ? issued.m_removed_ms : issued.m_added_ms;
    const auto since_ms = std::max(changed_ms, m_uninformed_ms[vm]);
    const bool in_time = m_world.now_ms() - since_ms <= bound_ms;
    if (!in_time && removed && accepted)
        fail("it was removed at " + std::to_string(changed_ms) + " ms");
    if (!in_time && !removed && refused)
        fail("it was added at " + std::to_string(changed_ms) + " ms");
    if (accepted)
    {
        m_accepted.insert({vm, key});
        if (m_refused.count({vm, key}) != 0)
            fail("it refused this key before, as removed");
    }
    if (!refused || m_accepted.count({vm, key}) == 0)
        return;
    if (removed)
        m_refused.insert({vm, key});
    else
        fail("it accepted this key before");
}

} // namespace stand_in
