#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/cell/worker.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"

/// Interfaces to the scheduler's environment. Each function calls its callback once, later, in the
/// loop of the calling task. A failure has the verdict not_run only if the call certainly had no
/// effect.
namespace dragonflygap::cell
{

struct row_name
{
    std::string m_table;
    std::string m_key;

    auto operator<=>(const row_name&) const = default;
};

struct stored_row
{
    row_name m_name;
    std::uint64_t m_version = 0; ///< 0: the row doesn't exist.
    std::string m_value;
};

/// Atomic: takes effect only if every row in the conditions has the given version.
struct transaction
{
    struct condition
    {
        row_name m_row;
        std::uint64_t m_version = 0;
    };
    struct write
    {
        row_name m_row;
        std::string m_value;
    };
    std::vector<condition> m_conditions;
    std::vector<write> m_writes;
    std::vector<row_name> m_deletes;

    std::size_t entries() const { return m_conditions.size() + m_writes.size() + m_deletes.size(); }
};

struct transaction_result
{
    bool m_committed = false;
    std::uint64_t m_version = 0;         ///< Of all rows written, if committed.
    std::int64_t m_clock_ms = 0;         ///< The store's steady clock; 0: unknown.
    std::vector<stored_row> m_conflicts; ///< The conditions' rows as they are, if not committed.
};

struct store_port
{
    std::function<void(transaction, duration timeout,
                       std::function<void(outcome<transaction_result>)>)>
        m_commit;
    /// Reads all rows of a table in the cell's part.
    std::function<void(std::string table, duration timeout,
                       std::function<void(outcome<std::vector<stored_row>>)>)>
        m_scan;
    /// Reads one row of the cell's part; its version is 0 if it doesn't exist.
    std::function<void(row_name, duration timeout, std::function<void(outcome<stored_row>)>)>
        m_read;
};

/// A read of a table: its changes after a position, or all rows.
struct table_read
{
    std::uint64_t m_number = 0;
    std::uint64_t m_position = 0; ///< 0: read all rows.
    duration m_wait{};            ///< How long to wait for a change.
    duration m_timeout{};
    bool m_new_connection = false; ///< Earlier connections may be silent.
};

/// Entries of workers that a read found.
struct worker_changes
{
    bool m_complete = false; ///< All workers are in m_listed, not only changed ones.
    std::vector<worker_info> m_listed;
    std::vector<worker_id> m_unlisted;
};

/// How much of a table the answer to a read covers.
struct read_extent
{
    std::uint64_t m_position = 0; ///< For the next read; 0: all rows have to be read again.
    std::size_t m_rows = 0;
    /// False: the store may have left out later changes, as it limits the size of its answers.
    bool m_up_to_date = true;
};

template <class T>
using read_done = std::function<void(outcome<T>, const read_extent&)>;

/// Workers and configuration as the platform provides them.
struct directory_port
{
    std::function<void(const table_read&, read_done<worker_changes>)> m_read_workers;
    /// Nothing if the configuration hasn't changed, or there is none.
    std::function<void(const table_read&, read_done<std::optional<cell_config>>)> m_read_config;
};

struct start_order
{
    task_key m_task;
    std::uint64_t m_run = 0;
    std::string m_payload;
    std::string m_checkpoint;
    std::string m_ticket;
    std::int64_t m_deadline_ms = 0; ///< By the worker's clock.
};

struct start_result
{
    start_refusal m_refusal = start_refusal::none;
    std::int64_t m_clock_ms = -1; ///< The worker's own steady clock; negative: unknown.
};

/// Destination of a call; a restarted worker at the same address rejects it.
struct worker_address
{
    worker_id m_id;
    endpoint m_endpoint;
};

struct renewal
{
    /// By the worker's clock; nothing: report without renewing the lease.
    std::optional<std::int64_t> m_deadline_ms;
    std::uint64_t m_acknowledged = 0; ///< The worker may discard ends up to this number.
    duration m_wait{};                ///< How long to wait for a task to end.
    duration m_timeout{};             ///< Of the answer, after the wait.
};

/// Workers run tasks under leases; every call carries the caller's fencing token.
struct worker_port
{
    std::function<void(const worker_address&, std::uint64_t token, start_order, duration timeout,
                       std::function<void(outcome<start_result>)>)>
        m_start;
    std::function<void(const worker_address&, std::uint64_t token, const task_key&,
                       std::uint64_t run, duration timeout,
                       std::function<void(outcome<start_result>)>)>
        m_stop;
    /// Fails with stale_epoch if the token is fenced, and with not_found if another worker answers.
    std::function<void(const worker_address&, std::uint64_t token, renewal,
                       std::function<void(outcome<worker_report>)>)>
        m_renew;
    /// Limits a task's speed to a percentage.
    std::function<void(const worker_address&, std::uint64_t token, const task_key&,
                       std::uint64_t run, int percent, std::function<void(outcome<start_result>)>)>
        m_pace;
};

struct ticket
{
    worker_id m_worker;
    std::string m_text;

    MSGPACK_DEFINE(m_worker, m_text)
};

struct approval
{
    std::vector<ticket> m_tickets; ///< For the workers that may run the step.
    std::int64_t m_valid_ms = 0;

    MSGPACK_DEFINE(m_tickets, m_valid_ms)
};

struct approval_port
{
    std::function<void(const step_key&, std::vector<worker_id> workers, duration timeout,
                       std::function<void(outcome<approval>)>)>
        m_request;
};

} // namespace dragonflygap::cell
