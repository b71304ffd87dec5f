#pragma once

#include <cstdint>
#include <string>

#include "dragonflygap/config/document.hpp"

namespace dragonflygap::config
{

/// A document that the platform's table has accepted, and the number of its revision.
struct versioned_document
{
    std::uint64_t m_version = 0; ///< 0: the default document, none was applied yet.
    std::string m_text;
    document m_document;
};

/// Holds the active document; its version never decreases. Pure.
class config_tracker
{
public:
    config_tracker();

    /// Activates a document from the table or from a peer; true if it became the active one.
    /// Ignores versions that aren't newer and texts that can't be parsed.
    bool update_if_newer(std::uint64_t version, const std::string& text);

    const versioned_document& active_document() const { return m_in_force; }

private:
    versioned_document m_in_force;
};

} // namespace dragonflygap::config
