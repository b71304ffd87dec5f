#include "dragonflygap/config/revision.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace dragonflygap::config
{

std::string history_key(std::uint64_t number)
{
    // Always two digits: rows are read by prefix, and no key may be a prefix of another.
    constexpr std::uint64_t ten = 10;
    const auto slot = number % revision_limit;
    return std::string(history_prefix) + std::to_string(slot / ten) + std::to_string(slot % ten);
}

std::uint64_t parse_head(std::string_view value)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    return error == std::errc() && end == value.data() + value.size() ? number : 0;
}

std::string encode_revision(const revision& value)
{
    return nlohmann::json{
        {"revision", value.m_number}, {"change", value.m_change}, {"document", value.m_text}}
        .dump();
}

std::optional<revision> decode_revision(std::string_view value)
{
    try
    {
        const auto json = nlohmann::json::parse(value);
        return revision{.m_number = json.at("revision"),
                        .m_change = json.at("change"),
                        .m_text = json.at("document")};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace dragonflygap::config
