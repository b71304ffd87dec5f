#include "dragonflygap/config/revision.hpp"

#include <nlohmann/json.hpp>

namespace dragonflygap::config
{

std::string history_key(std::uint64_t number)
{
    return std::string(history_prefix) + std::to_string(number % kept_revisions);
}

std::string write_revision(const revision& value)
{
    return nlohmann::json{
        {"revision", value.m_number}, {"change", value.m_change}, {"document", value.m_text}}
        .dump();
}

std::optional<revision> read_revision(std::string_view value)
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
