#pragma once

#include <string>

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap::cli
{

struct command_options;

/// Sends one request to the operators' address and waits for its answer, for 15 s at most.
outcome<http_response> call_server(const command_options& options, http_request request);

/// True for an answer with a 2xx status.
bool succeeded(const outcome<http_response>& answer);

/// Says on standard error what went wrong, and gives the exit code for it.
int report_failure(const command_options& options, const outcome<http_response>& answer);

/// The text of a file; a failure with a text for people if it can't be read.
outcome<std::string> read_file(const std::string& path);

} // namespace dragonflygap::cli
