#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/cell/packing.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"

namespace dragonflygap::cell
{

using queue_id = identifier<struct queue_tag>;
using service_id = identifier<struct service_tag>; ///< A pool of workers.
using customer_id = identifier<struct customer_tag>;

/// Cost of the policy's approval that a step needs before its tasks may start.
struct approval_cost
{
    double m_decision_ms = 0; ///< 0: the queue needs no approval.
    double m_per_worker_ms = 0;
    std::int64_t m_valid_ms = 0;

    bool required() const { return m_decision_ms > 0 || m_per_worker_ms > 0 || m_valid_ms > 0; }
    bool operator==(const approval_cost&) const = default;

    MSGPACK_DEFINE(m_decision_ms, m_per_worker_ms, m_valid_ms)
};

/// A queue as configured by the operator.
struct queue_rules
{
    queue_id m_name;
    std::string m_host;
    std::string m_path_prefix;
    service_id m_service;
    int m_priority = 0; ///< 0 is the most urgent.
    int m_max_attempts = 3;
    double m_stretch = 2; ///< Objective: m_stretch times the longest chain of work, plus the slack.
    std::int64_t m_slack_ms = 1000;
    approval_cost m_approval;
    bool m_anonymous_allowed = false; ///< Calls need no key, even if the configuration has keys.

    bool operator==(const queue_rules&) const = default;

    MSGPACK_DEFINE(m_name, m_host, m_path_prefix, m_service, m_priority, m_max_attempts, m_stretch,
                   m_slack_ms, m_approval, m_anonymous_allowed)
};

/// A customer as configured by the operator.
struct customer_rules
{
    customer_id m_name;
    std::vector<std::string> m_keys; ///< Any of them identifies the customer's calls.
    double m_weight = 1;             ///< Its share when capacity is short.
    resources m_limit;               ///< On all workers together; 0: no limit of this resource.

    bool operator==(const customer_rules&) const = default;

    MSGPACK_DEFINE(m_name, m_keys, m_weight, m_limit)
};

/// The operator's whole configuration of the cell.
struct cell_config
{
    std::uint64_t m_version = 0;
    std::vector<queue_rules> m_queues;
    bool m_keys_required = false; ///< The configuration lists customers.
    std::vector<customer_rules> m_customers;

    MSGPACK_DEFINE(m_version, m_queues, m_keys_required, m_customers)

    /// The queue with the longest matching path prefix; nullptr if none matches.
    const queue_rules* find(std::string_view host, std::string_view path) const
    {
        const queue_rules* best = nullptr;
        for (const auto& queue : m_queues)
            if (queue.m_host == host && path.starts_with(queue.m_path_prefix) &&
                (best == nullptr || queue.m_path_prefix.size() > best->m_path_prefix.size()))
                best = &queue;
        return best;
    }

    const queue_rules* find(const queue_id& name) const
    {
        for (const auto& queue : m_queues)
            if (queue.m_name == name)
                return &queue;
        return nullptr;
    }
};

} // namespace dragonflygap::cell
