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

/// Scheduling parameters of one request class.
struct request_class
{
    class_id m_name;
    int m_urgency = 5;           ///< 0 is the most urgent.
    duration m_expected = 100ms; ///< Expected run time.
    duration m_deadline = 1s;    ///< Default for requests without a deadline.
    std::size_t m_max_queued = 1000;
    double m_slot_share = 1.0; ///< Maximum share of the slots while other classes wait.
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

/// The cluster configuration; schemas/config.schema.json describes its JSON text.
struct document
{
    std::vector<request_class> m_classes;
    std::vector<team> m_teams;
    std::vector<caller_weight> m_callers;
};

/// Parses and validates a document, also across fields; reports all errors.
tl::expected<document, std::vector<validation_error>> parse_document(std::string_view text);

/// The document that is active until one has been applied.
std::string_view default_document();

} // namespace dragonflygap::config
