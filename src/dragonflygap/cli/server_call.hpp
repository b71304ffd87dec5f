#pragma once

#include <string>

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap::cli
{

struct command_options;

/// Sends a request to the operators' address and waits up to 15 s for the answer.
outcome<http_response> call_server(const command_options& options, http_request request);

/// True for an answer with a 2xx status.
bool succeeded(const outcome<http_response>& answer);

/// Prints the failure to standard error and returns its exit code.
int report_failure(const command_options& options, const outcome<http_response>& answer);

/// Reads a file; if that fails, the detail of the failure is a message for the user.
outcome<std::string> read_file(const std::string& path);

} // namespace dragonflygap::cli
