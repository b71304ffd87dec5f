#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/request/key_claim.hpp"

namespace dragonflygap::request
{

struct key_claims_options
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    std::size_t m_max_claims = 10000; ///< Unfinished claims of this entry VM.
    std::size_t m_max_batch = 128;    ///< Rows per commit.
    std::size_t m_max_answer_bytes = 4096;
    std::chrono::seconds m_lifetime{24 * 3600}; ///< Time after which a claim expires.
    duration m_claim_timeout = 3s;              ///< Limits a claim's wait for the table.
    duration m_retry_delay = 500ms;
    duration m_sweep_interval = 10s;
    /// Whether the process that holds a claim is alive, as far as this entry VM knows.
    std::function<bool(const vm_id& vm, std::uint64_t incarnation)> m_is_holder_alive;
};

/// A non-idempotent request with a key needs a claim before it may run.
struct claim_requested
{
    request_id m_request;
    std::string m_row_key;
    std::string m_fingerprint;
};
/// The outcome of a request whose claim was granted.
struct claim_ended
{
    request_id m_request;
    verdict m_verdict = verdict::may_have_run;
    std::optional<stored_answer> m_answer;
};
/// The result of commit_claims.
struct claims_committed
{
    std::uint64_t m_call = 0;
    outcome<platform::commit_result> m_result;
};
/// The result of scan_claims.
struct claims_scanned
{
    outcome<std::vector<platform::row>> m_rows;
};
struct claims_tick
{
};
using claims_event =
    std::variant<claim_requested, claim_ended, claims_committed, claims_scanned, claims_tick>;

/// Commit the writes, then report claims_committed. Only one commit is in flight at a time.
struct commit_claims
{
    std::uint64_t m_call = 0;
    std::vector<platform::row_write> m_writes;
};
/// Read the rows with the prefix, then report claims_scanned.
struct scan_claims
{
    std::string m_prefix;
};
/// The request may be dispatched; claim_ended must follow.
struct claim_granted
{
    request_id m_request;
};
/// An earlier request with the key has run; this is its answer.
struct claim_answered
{
    request_id m_request;
    stored_answer m_answer;
};
/// The request must not be dispatched.
struct claim_refused
{
    request_id m_request;
    failure m_failure;
};
using claims_action =
    std::variant<commit_claims, scan_claims, claim_granted, claim_answered, claim_refused>;

/// Ensures that a non-idempotent request with a key runs at most once across all entry VMs.
///
/// A claim is a table row that is created by compare-and-set before the request is dispatched.
/// Pending claims are batched: one commit is in flight at a time. Does no I/O; the caller performs
/// the returned actions.
class key_claims
{
public:
    explicit key_claims(key_claims_options options);

    std::vector<claims_action> handle(const claims_event& event, instant now, wall_time wall_now);

    std::size_t size() const { return m_claims.size(); }

private:
    using actions = std::vector<claims_action>;

    enum class phase
    {
        requested, ///< Not yet written; the request must not be dispatched.
        granted,   ///< Written; the request may be dispatched.
        ending,    ///< The outcome is to be written.
    };

    struct local_claim
    {
        key_claim m_claim;
        phase m_phase = phase::requested;
        std::uint64_t m_version = 0; ///< Expected row version for the next write.
        bool m_delete_row = false;   ///< The final write deletes the row.
        int m_commit_attempts = 0;
        instant m_requested_at{};
    };

    void on(const claim_requested& event, actions& out);
    void on(const claim_ended& event, actions& out);
    void on(const claims_committed& event, actions& out);
    void on(const claims_scanned& event, actions& out);
    void on(const claims_tick& event, actions& out);

    void answer_duplicate(const request_id& request, const std::string& fingerprint,
                          const local_claim& known, actions& out) const;
    void commit_pending(actions& out);
    std::optional<platform::row_write> make_write(const std::string& key,
                                                  const local_claim& claim) const;
    void apply_commit(const platform::commit_result& result, actions& out);
    void resolve_conflicts(const platform::commit_result& result, actions& out);
    void handle_commit_failure(const failure& error, actions& out);
    void resolve_conflict(const std::string& key, const platform::row& row, actions& out);
    void grant(local_claim& claim, std::uint64_t version, actions& out);
    void refuse(const std::string& key, failure error, bool may_be_written, actions& out);
    void drop(const std::string& key);
    bool has_waiting_claims() const;
    bool is_own(const key_claim& claim) const;

    key_claims_options m_options;
    instant m_now{};
    wall_time m_wall_now{};
    std::map<std::string, local_claim> m_claims; ///< By row key.
    std::unordered_map<request_id, std::string> m_row_key_by_request;
    std::vector<std::string> m_pending_keys;          ///< Row keys waiting for a commit.
    std::vector<std::string> m_batch_keys;            ///< Row keys of the commit in flight.
    std::vector<platform::row_write> m_sweep_deletes; ///< Of expired, orphaned and invalid rows.
    std::optional<std::uint64_t> m_call;              ///< The commit in flight.
    std::uint64_t m_last_call = 0;
    instant m_retry_at{};
    instant m_last_sweep_at{};
    unsigned m_sweep_partition = 0;
};

} // namespace dragonflygap::request
