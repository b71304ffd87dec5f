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

/// Holds the document in force; never goes back to an older one. Pure.
class follower
{
public:
    follower();

    /// Takes over a document from the table or from a peer; true if it is now in force.
    /// Older versions, the same one, and texts that can't be read are left alone.
    bool offer(std::uint64_t version, const std::string& text);

    const versioned_document& in_force() const { return m_in_force; }

private:
    versioned_document m_in_force;
};

} // namespace dragonflygap::config
