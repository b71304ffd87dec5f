#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace dragonflygap::cli
{

/// Returns the lines about a job from the logs of several VMs, sorted by time.
/// A line is about the job if it has job=ID or the name of one of its tasks, task=ID.<task>.
std::vector<std::string> explain_lines(std::istream& logs, const std::string& id);

/// Runs logs explain ID [FILE...]; the first argument is "logs". Reads standard input if no
/// files are given.
int logs_command(std::span<const std::string> arguments);

} // namespace dragonflygap::cli
