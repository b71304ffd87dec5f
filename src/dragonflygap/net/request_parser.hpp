#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

/// Parses one HTTP request from bytes as they arrive. Does no I/O.
class request_parser
{
public:
    enum class status
    {
        head, ///< The request line or a header is missing.
        body, ///< A part of the body is missing.
        complete,
        malformed,
        head_too_large,
        body_too_large, ///< As announced, or as received so far.
    };

    request_parser(std::size_t max_head_bytes, std::size_t max_body_bytes);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;

    /// Removes from the input what it has parsed; the rest belongs to this request if it isn't
    /// complete, else to the next one. Not to be called again after an error or the end.
    status parse(std::string& input);

    /// Bytes of what was parsed, the input excluded.
    std::size_t held_bytes() const;

    /// Whether the client waits for an interim response before it sends the body.
    bool awaits_continue() const;
    bool keep_alive() const;
    int minor_version() const; ///< Of HTTP/1.
    bool is_head() const;      ///< The response must not have a body.

    /// The request, without its peer; the parser keeps its other properties.
    http_request take();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
