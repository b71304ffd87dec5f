#include "dragonflygap/config/schema_check.hpp"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace dragonflygap::config
{

namespace
{

bool is_index(std::string_view text)
{
    return std::ranges::all_of(text, [](unsigned char c) { return std::isdigit(c) != 0; });
}

std::string path_of(const std::vector<std::string>& context)
{
    std::string path = "$";
    for (std::size_t i = 1; i < context.size(); ++i)
    {
        // valijson puts both member names and array indices in brackets.
        const std::string name = context[i].substr(1, context[i].size() - 2);
        path += is_index(name) ? "[" + name + "]" : "." + name;
    }
    return path;
}

// valijson reports an error of a member again for every object and array around it.
bool repeats_nested_error(const std::string& problem)
{
    return problem.starts_with("Failed to validate against schema associated with") ||
           problem.starts_with("Failed to validate item #");
}

std::string line_of(std::string_view text, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return std::to_string(1 + std::count(text.begin(), end, '\n'));
}

} // namespace

std::vector<validation_error> check_schema(const nlohmann::json& document, std::string_view schema)
{
    const auto schema_json = nlohmann::json::parse(schema);
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema_json), parsed);
    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<validation_error> errors;
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        if (!repeats_nested_error(error.description))
            errors.push_back({path_of(error.context), error.description});
    return errors;
}

std::vector<validation_error> parse_and_check(std::string_view text, std::string_view schema,
                                              nlohmann::json& document)
{
    try
    {
        document = nlohmann::json::parse(text);
    }
    catch (const nlohmann::json::parse_error& error)
    {
        return {
            {"line " + line_of(text, error.byte), "invalid JSON: " + std::string(error.what())}};
    }
    catch (const nlohmann::json::out_of_range& error)
    {
        return {{"$", "a number is out of range: " + std::string(error.what())}};
    }
    return check_schema(document, schema);
}

std::string to_string(const std::vector<validation_error>& errors)
{
    std::string text;
    for (const auto& item : errors)
        text += item.m_path + ": " + item.m_problem + "\n";
    return text;
}

} // namespace dragonflygap::config
