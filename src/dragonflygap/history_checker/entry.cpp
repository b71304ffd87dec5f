#include "dragonflygap/history_checker/entry.hpp"

#include <algorithm>
#include <charconv>

namespace dragonflygap::history_checker
{

namespace
{

/// Parses a value, with or without quotes, and removes it from the front of the text.
std::string parse_value(std::string_view& text)
{
    std::string value;
    if (!text.starts_with('"'))
    {
        const auto end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"')
    {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value += text.front();
        text.remove_prefix(1);
    }
    if (!text.empty())
        text.remove_prefix(1);
    return value;
}

} // namespace

const std::string& entry::text(std::string_view key) const
{
    static const std::string none;
    const auto found = m_fields.find(key);
    return found == m_fields.end() ? none : found->second;
}

std::int64_t entry::number(std::string_view key) const
{
    const auto& value = text(key);
    std::int64_t result = 0;
    std::from_chars(value.data(), value.data() + value.size(), result);
    return result;
}

std::optional<entry> parse_entry(std::string_view line)
{
    entry result;
    while (!line.empty())
    {
        const auto start = line.find_first_not_of(' ');
        const auto equals = line.find('=');
        if (start == std::string_view::npos || equals == std::string_view::npos || equals < start)
            break;
        std::string key(line.substr(start, equals - start));
        line.remove_prefix(equals + 1);
        result.m_fields[std::move(key)] = parse_value(line);
    }
    if (!result.m_fields.contains("at_us") || !result.m_fields.contains("event"))
        return std::nullopt;
    result.m_vm = result.text("vm");
    result.m_event = result.text("event");
    result.m_at = instant(duration(result.number("at_us")));
    return result;
}

void read_entries(std::istream& from, std::vector<entry>& to)
{
    for (std::string line; std::getline(from, line);)
        if (auto parsed = parse_entry(line))
            to.push_back(std::move(*parsed));
}

void sort_entries(std::vector<entry>& entries)
{
    const auto starts_task = [](const entry& item)
    { return item.m_event == "worker_task_started"; };
    std::ranges::stable_sort(entries,
                             [&](const entry& left, const entry& right)
                             {
                                 if (left.m_at != right.m_at)
                                     return left.m_at < right.m_at;
                                 return starts_task(left) < starts_task(right);
                             });
}

} // namespace dragonflygap::history_checker
