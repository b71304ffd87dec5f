#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace dragonflygap
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// One key=value pair of a log line.
struct log_field
{
    std::string_view m_key;
    std::string m_value;

    log_field(std::string_view key, std::string_view value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const char* value) : m_key(key), m_value(value) {}
    log_field(std::string_view key, const std::string& value) : m_key(key), m_value(value) {}
    template <class Number>
    requires std::is_arithmetic_v<Number> log_field(std::string_view key, Number value)
        : m_key(key), m_value(std::to_string(value))
    {
    }
};

/// Starts logging to standard output, at this level and above, with the VM's name in every line.
/// No log file is written, since VMs have no disks.
void start_logging(log_level min_level, std::string_view vm);

/// True if this level is enabled; lets callers skip formatting the fields.
bool log_enabled(log_level level);

/// Writes one line: time, level, vm, event and the fields, as key=value pairs.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Writes a periodic line of level info; it may use the reserved part of the rate limit, so
/// that other lines can't crowd it out.
void log_periodic(std::string_view event, std::initializer_list<log_field> fields);

/// Writes one line regardless of the minimum level; fields come from format_fields().
void log_line(log_level level, std::string_view event, std::string_view fields);

/// Number of lines dropped so far, because of the rate limit or because the output was blocked.
std::uint64_t dropped_log_lines();

/// Formats fields as key=value; empty values and those with blanks, quotes or = are quoted.
std::string format_fields(std::initializer_list<log_field> fields);

/// Parses debug, info, warning or error; anything else becomes info.
log_level log_level_from_string(std::string_view name);

} // namespace dragonflygap
