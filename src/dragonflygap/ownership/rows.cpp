#include "dragonflygap/ownership/rows.hpp"

#include <charconv>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dragonflygap::ownership
{

namespace
{

constexpr std::string_view lease_segment = "lease/";
constexpr std::string_view group_segment = "group/";

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

// Returns the rest of a key that starts with the prefix and the segment.
std::optional<std::string_view> suffix_after(std::string_view key, std::string_view prefix,
                                             std::string_view segment)
{
    if (!key.starts_with(prefix))
        return std::nullopt;
    key.remove_prefix(prefix.size());
    if (!key.starts_with(segment))
        return std::nullopt;
    return key.substr(segment.size());
}

nlohmann::json parse(std::string_view value)
{
    auto parsed = nlohmann::json::parse(value, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

std::uint64_t read_number(const nlohmann::json& from, const char* name)
{
    const auto found = from.find(name);
    return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

group_index group_of(const worker_id& worker)
{
    return static_cast<group_index>(hash(worker.m_value, 0) % groups_per_data_centre);
}

std::string key_prefix(const data_centre_id& data_centre)
{
    return "own/" + data_centre.m_value + "/";
}

std::string lease_key(std::string_view prefix, const vm_id& vm)
{
    return std::string(prefix).append(lease_segment).append(vm.m_value);
}

std::string group_key(std::string_view prefix, group_index group)
{
    return std::string(prefix).append(group_segment).append(std::to_string(group));
}

std::optional<vm_id> vm_of_key(std::string_view prefix, std::string_view key)
{
    const auto name = suffix_after(key, prefix, lease_segment);
    return name ? std::optional(vm_id(std::string(*name))) : std::nullopt;
}

std::optional<group_index> group_of_key(std::string_view prefix, std::string_view key)
{
    const auto name = suffix_after(key, prefix, group_segment);
    group_index index = 0;
    if (!name ||
        std::from_chars(name->data(), name->data() + name->size(), index).ec != std::errc())
        return std::nullopt;
    return index < groups_per_data_centre ? std::optional(index) : std::nullopt;
}

std::string encode_lease(const lease_value& value)
{
    auto electors = nlohmann::json::array();
    for (const auto& vm : value.m_electors)
        electors.push_back(vm.m_value);
    return nlohmann::json{{"incarnation", value.m_holder.m_incarnation},
                          {"session", value.m_holder.m_count},
                          {"electors", electors}}
        .dump();
}

std::string encode_group(const group_owner& owner)
{
    return nlohmann::json{{"owner", owner.m_owner.m_vm.m_value},
                          {"incarnation", owner.m_owner.m_incarnation},
                          {"session", owner.m_owner.m_count},
                          {"epoch", owner.m_epoch}}
        .dump();
}

lease_value decode_lease(const vm_id& vm, std::string_view value)
{
    const auto parsed = parse(value);
    lease_value result{
        .m_holder = {vm, read_number(parsed, "incarnation"), read_number(parsed, "session")}};
    const auto electors = parsed.find("electors");
    if (electors != parsed.end() && electors->is_array())
        for (const auto& name : *electors)
            if (name.is_string())
                result.m_electors.insert(vm_id(name.get<std::string>()));
    return result;
}

group_owner decode_group(std::string_view value)
{
    const auto parsed = parse(value);
    const auto owner = parsed.find("owner");
    const auto name =
        owner != parsed.end() && owner->is_string() ? owner->get<std::string>() : std::string();
    return {.m_owner = {vm_id(name), read_number(parsed, "incarnation"),
                        read_number(parsed, "session")},
            .m_epoch = read_number(parsed, "epoch")};
}

std::uint64_t rendezvous_weight(const vm_id& vm, std::uint64_t subject)
{
    return hash(vm.m_value, subject);
}

std::uint64_t subject_of(const vm_id& vm)
{
    return hash(vm.m_value, 0);
}

} // namespace dragonflygap::ownership
