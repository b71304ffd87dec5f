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

std::atomic<log_level> least_level{log_level::warning};

std::string& vm_name()
{
    static std::string name;
    return name;
}

std::mutex limiter_mutex;
log_limiter limiter;
std::atomic<std::uint64_t> dropped_lines{0};

// A pipe whose reader doesn't read is full; a line must not wait for it.
bool output_takes_a_line()
{
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// How a line is bounded; without an event by the bound of all lines alone.
struct line_bound
{
    std::string_view m_event;
    log_limiter::weight m_weight = log_limiter::weight::ordinary;
};

/// True if a line may be written; tells how many were left out before it.
bool admit_line(const line_bound& bound, std::optional<std::uint64_t>& left_out)
{
    const std::lock_guard lock(limiter_mutex);
    const auto now = monotonic_clock::now();
    if (!(bound.m_event.empty() ? limiter.admit(now)
                                : limiter.admit(now, bound.m_weight, bound.m_event)))
    {
        ++dropped_lines;
        return false;
    }
    if (!output_takes_a_line())
    {
        limiter.lost();
        ++dropped_lines;
        return false;
    }
    left_out = limiter.take_dropped();
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
                const line_bound& bound)
{
    std::optional<std::uint64_t> left_out;
    if (!admit_line(bound, left_out))
        return;
    if (left_out)
        LOG(WARNING) << "vm=" << vm_name() << " event=log_lines_dropped lines=" << *left_out;
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

void start_logging(log_level least, std::string_view vm)
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
    least_level = least;
}

bool log_enabled(log_level level)
{
    return level >= least_level.load(std::memory_order_relaxed);
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
    const bool kept = level >= log_level::warning;
    write_line(level, event, format_fields(fields),
               {event, kept ? log_limiter::weight::kept : log_limiter::weight::ordinary});
}

void log_periodic(std::string_view event, std::initializer_list<log_field> fields)
{
    if (log_enabled(log_level::info))
        write_line(log_level::info, event, format_fields(fields),
                   {event, log_limiter::weight::kept});
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
