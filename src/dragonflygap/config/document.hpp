#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "dragonflygap/config/schema_check.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::config
{

/// How requests of one class are served.
struct request_class
{
    class_id m_name;
    int m_urgency = 5;           ///< 0 is served first.
    duration m_expected = 100ms; ///< Usual run time.
    duration m_deadline = 1s;    ///< Where the caller gives none.
    std::size_t m_max_queued = 1000;
    double m_slot_share = 1.0; ///< Most of the slots while other classes wait.
    bool m_idempotent = true;
};

struct team
{
    team_id m_name;
    resources m_quota;
};

struct caller_weight
{
    caller_id m_name;
    int m_weight = 1;
};

/// The whole desired configuration; schemas/config.schema.json describes its text.
struct document
{
    std::vector<request_class> m_classes;
    std::vector<team> m_teams;
    std::vector<caller_weight> m_callers;
};

/// Reads a document and checks it, also across fields; all faults are reported.
tl::expected<document, std::vector<validation_error>> parse_document(std::string_view text);

/// The document that is in force before any was applied.
std::string_view default_document();

} // namespace dragonflygap::config
