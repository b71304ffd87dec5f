#include "dragonflygap/config/config_tracker.hpp"

#include <utility>

namespace dragonflygap::config
{

config_tracker::config_tracker()
{
    m_in_force.m_text = default_document();
    m_in_force.m_document = parse_document(m_in_force.m_text).value();
}

bool config_tracker::update_if_newer(std::uint64_t version, const std::string& text)
{
    if (version <= m_in_force.m_version)
        return false;
    auto parsed = parse_document(text);
    if (!parsed)
        return false;
    m_in_force = {version, text, std::move(*parsed)};
    return true;
}

} // namespace dragonflygap::config
