#include "dragonflygap/observe/log.hpp"

#include <atomic>
#include <mutex>

#include <poll.h>
#include <unistd.h>

#include <easylogging++.h>

#include "dragonflygap/observe/log_limiter.hpp"

INITIALIZE_EASYLOGGINGPP

namespace dragonflygap
{

namespace
{

std::atomic<log_level> minimum_level{log_level::warning};

std::string& vm_name()
{
    static std::string name;
    return name;
}

std::mutex limiter_mutex;
log_limiter limiter;
std::atomic<std::uint64_t> dropped_lines{0};

// A write to a full pipe, whose reader has stalled, would block.
bool stdout_is_writable()
{
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Rate limits of a line; without an event only the total limit applies.
struct line_limits
{
    std::string_view m_event;
    log_limiter::priority m_priority = log_limiter::priority::normal;
};

/// True if a line may be written; sets the number of lines dropped before it.
bool admit_line(const line_limits& limits, std::optional<std::uint64_t>& dropped_count)
{
    const std::lock_guard lock(limiter_mutex);
    const auto now = monotonic_clock::now();
    if (!(limits.m_event.empty() ? limiter.admit(now)
                                 : limiter.admit(now, limits.m_priority, limits.m_event)))
    {
        ++dropped_lines;
        return false;
    }
    if (!stdout_is_writable())
    {
        limiter.count_dropped();
        ++dropped_lines;
        return false;
    }
    dropped_count = limiter.reset_dropped_count();
    return true;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void append_value(std::string& text, std::string_view value)
{
    if (!needs_quotes(value))
    {
        text += value;
        return;
    }
    text += '"';
    for (const char c : value)
    {
        if (c == '\n' || c == '\r')
        {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
    text += '"';
}

void write_line(log_level level, std::string_view event, std::string_view fields,
                const line_limits& limits)
{
    std::optional<std::uint64_t> dropped_count;
    if (!admit_line(limits, dropped_count))
        return;
    if (dropped_count)
        LOG(WARNING) << "vm=" << vm_name() << " event=log_lines_dropped lines=" << *dropped_count;
    std::string line = "vm=" + vm_name() + " event=";
    line += event;
    line += fields;
    switch (level)
    {
    case log_level::debug:
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

void start_logging(log_level min_level, std::string_view vm)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::SubsecondPrecision, "6");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
    el::Loggers::reconfigureLogger("default", configuration);
    vm_name() = vm;
    minimum_level = min_level;
}

bool log_enabled(log_level level)
{
    return level >= minimum_level.load(std::memory_order_relaxed);
}

std::string format_fields(std::initializer_list<log_field> fields)
{
    std::string text;
    for (const auto& field : fields)
    {
        text += ' ';
        text += field.m_key;
        text += '=';
        append_value(text, field.m_value);
    }
    return text;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!log_enabled(level))
        return;
    const bool important = level >= log_level::warning;
    write_line(level, event, format_fields(fields),
               {event, important ? log_limiter::priority::high : log_limiter::priority::normal});
}

void log_periodic(std::string_view event, std::initializer_list<log_field> fields)
{
    if (log_enabled(log_level::info))
        write_line(log_level::info, event, format_fields(fields),
                   {event, log_limiter::priority::high});
}

void log_line(log_level level, std::string_view event, std::string_view fields)
{
    write_line(level, event, fields, {});
}

std::uint64_t dropped_log_lines()
{
    return dropped_lines;
}

log_level log_level_from_string(std::string_view name)
{
    if (name == "debug")
        return log_level::debug;
    if (name == "warning")
        return log_level::warning;
    if (name == "error")
        return log_level::error;
    return log_level::info;
}

} // namespace dragonflygap
