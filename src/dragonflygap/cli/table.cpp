#include "dragonflygap/cli/table.hpp"

#include <algorithm>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

namespace dragonflygap::cli
{

namespace
{

using row = std::vector<std::string>;

constexpr std::size_t column_gap = 2;

void append_item(std::string& text, const std::string& item)
{
    if (!text.empty())
        text += ", ";
    text += item;
}

// Summarises objects with a state as "2 running, 1 waiting", any other list as its length.
std::string summarise_list(const nlohmann::json& list)
{
    std::map<std::string, int> counts;
    for (const auto& item : list)
        if (item.is_object() && item.contains("state"))
            ++counts[item["state"].get<std::string>()];
    if (counts.empty())
        return std::to_string(list.size());
    std::string text;
    for (const auto& [state, count] : counts)
        append_item(text, std::to_string(count) + " " + state);
    return text;
}

std::string join_members(const nlohmann::json& object)
{
    std::string text;
    for (const auto& [name, value] : object.items())
        append_item(text, name + " " + value.dump());
    return text;
}

std::string format_value(const nlohmann::json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_array())
        return summarise_list(value);
    if (value.is_object())
        return join_members(value);
    return value.dump();
}

std::string format_rows(const std::vector<row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& line : rows)
    {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto& line : rows)
    {
        for (std::size_t i = 0; i < line.size(); ++i)
        {
            text += line[i];
            if (i + 1 < line.size())
                text.append(widths[i] - line[i].size() + column_gap, ' ');
        }
        text += '\n';
    }
    return text;
}

std::vector<row> rows_of_list(const nlohmann::json& list)
{
    std::vector<row> rows;
    if (list.empty())
        return {{"(none)"}};
    row header;
    for (const auto& [name, value] : list.front().items())
        header.push_back(name);
    rows.push_back(header);
    for (const auto& item : list)
    {
        row line;
        for (const auto& name : header)
            line.push_back(item.contains(name) ? format_value(item[name]) : "");
        rows.push_back(line);
    }
    return rows;
}

} // namespace

std::string format_table(const nlohmann::json& value)
{
    if (value.is_array())
        return format_rows(rows_of_list(value));
    std::vector<row> rows;
    std::string lists;
    for (const auto& [name, item] : value.items())
    {
        if (item.is_array())
            lists += "\n" + name + ":\n" + format_rows(rows_of_list(item));
        else
            rows.push_back({name, format_value(item)});
    }
    return format_rows(rows) + lists;
}

} // namespace dragonflygap::cli
