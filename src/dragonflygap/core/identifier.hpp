#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace dragonflygap
{

/// A strongly typed string identifier; the tag keeps different kinds from being mixed up.
template <class Tag>
struct identifier
{
    std::string m_value;

    identifier() = default;
    explicit identifier(std::string value) : m_value(std::move(value)) {}

    bool empty() const { return m_value.empty(); }
    auto operator<=>(const identifier&) const = default;
};

using vm_id = identifier<struct vm_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using worker_id = identifier<struct worker_tag>;
using target_id = identifier<struct target_tag>;
using rack_id = identifier<struct rack_tag>;
using caller_id = identifier<struct caller_tag>;
using team_id = identifier<struct team_tag>;
using class_id = identifier<struct class_tag>;
using request_id = identifier<struct request_tag>;
using idempotency_key = identifier<struct idempotency_key_tag>;
using job_id = identifier<struct job_tag>;
using task_id = identifier<struct task_tag>;

} // namespace dragonflygap

template <class Tag>
struct std::hash<dragonflygap::identifier<Tag>>
{
    std::size_t operator()(const dragonflygap::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.m_value);
    }
};
