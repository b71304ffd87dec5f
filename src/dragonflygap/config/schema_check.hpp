#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace dragonflygap::config
{

/// One error in a JSON document.
struct validation_error
{
    std::string m_path; ///< JSON path, or "line N" if the text could not be parsed.
    std::string m_problem;
};

/// Validates a document against a schema of schemas.hpp; empty if it is valid.
std::vector<validation_error> check_schema(const nlohmann::json& document, std::string_view schema);

/// Parses and validates a text; malformed JSON gives one error with its line number.
std::vector<validation_error> parse_and_check(std::string_view text, std::string_view schema,
                                              nlohmann::json& document);

/// One line per error: path, colon, problem.
std::string to_string(const std::vector<validation_error>& errors);

} // namespace dragonflygap::config
