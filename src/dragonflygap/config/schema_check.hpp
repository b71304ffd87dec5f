#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace dragonflygap::config
{

/// One fault of a JSON document: where it is, as a JSON path, and what is wrong.
struct validation_error
{
    std::string m_path;
    std::string m_problem;
};

/// All faults of a document against one of the schemas in schemas.hpp; empty if there are none.
std::vector<validation_error> check_schema(const nlohmann::json& document, std::string_view schema);

/// Parses a text and checks it; a text that is no JSON gives a fault with its line.
std::vector<validation_error> parse_and_check(std::string_view text, std::string_view schema,
                                              nlohmann::json& document);

/// One line a fault: path, colon, problem.
std::string to_string(const std::vector<validation_error>& faults);

} // namespace dragonflygap::config
