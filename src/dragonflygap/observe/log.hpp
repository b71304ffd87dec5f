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

/// Sends log lines of at least this level to standard output; lower ones are dropped.
/// The VM's name is added to every line. VMs have no disks, so no file is written.
void start_logging(log_level least, std::string_view vm);

/// True if a line of this level would be written, to spare the making of its fields.
bool log_enabled(log_level level);

/// Writes one line: time, level, vm, event and the fields, as key=value pairs.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Writes one line of level info that comes at a fixed rate: other lines don't push it out.
void log_periodic(std::string_view event, std::initializer_list<log_field> fields);

/// Writes one line whatever the least level, its fields made by format_fields.
void log_line(log_level level, std::string_view event, std::string_view fields);

/// Lines left out so far: beyond the bound a second, or because nobody read the output.
std::uint64_t dropped_log_lines();

/// Text of the pairs; values with blanks, quotes or nothing in them are quoted.
std::string format_fields(std::initializer_list<log_field> fields);

/// Reads debug, info, warning or error; anything else becomes info.
log_level log_level_from_string(std::string_view name);

} // namespace dragonflygap
