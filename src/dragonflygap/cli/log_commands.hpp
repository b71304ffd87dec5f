#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace dragonflygap::cli
{

/// The lines of several VMs' logs that speak of a job, in the order of their times.
/// A line speaks of it by job=ID or by the name of one of its tasks, task=ID....
std::vector<std::string> explain_lines(std::istream& logs, const std::string& id);

/// Runs logs explain ID [FILE...]; words start with "logs". Without files it reads standard input.
int logs_command(std::span<const std::string> words);

} // namespace dragonflygap::cli
