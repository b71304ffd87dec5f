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
    std::size_t m_max_claims = 10000; ///< Claims of this entry VM that aren't settled yet.
    std::size_t m_max_batch = 128;    ///< Rows of one commit.
    std::size_t m_max_answer_bytes = 4096;
    std::chrono::seconds m_lifetime{24 * 3600};
    duration m_longest_wait = 3s; ///< For a claim that the table doesn't answer.
    duration m_retry_after = 500ms;
    duration m_sweep_every = 10s;
    /// Whether the process that holds a claim still lives, as far as is known here.
    std::function<bool(const vm_id& vm, std::uint64_t incarnation)> m_is_holder_alive;
};

/// A non-idempotent request with a key wants to run.
struct claim_requested
{
    request_id m_request;
    std::string m_row_key;
    std::string m_fingerprint;
};
/// What became of a request whose claim was granted.
struct claim_ended
{
    request_id m_request;
    verdict m_verdict = verdict::may_have_run;
    std::optional<kept_answer> m_answer;
};
/// The answer to commit_claims.
struct claims_committed
{
    std::uint64_t m_call = 0;
    outcome<platform::commit_result> m_result;
};
/// The answer to scan_claims.
struct claims_scanned
{
    outcome<std::vector<platform::row>> m_rows;
};
struct claims_tick
{
};
using claims_event =
    std::variant<claim_requested, claim_ended, claims_committed, claims_scanned, claims_tick>;

/// Commit the writes, then report claims_committed. Only one call is under way at a time.
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
/// The key's request ran before; this was its answer.
struct claim_answered
{
    request_id m_request;
    kept_answer m_answer;
};
/// The request must not be dispatched.
struct claim_refused
{
    request_id m_request;
    failure m_failure;
};
using claims_action =
    std::variant<commit_claims, scan_claims, claim_granted, claim_answered, claim_refused>;

/// Lets a non-idempotent request with a key run at most once, whichever entry VM it comes through.
///
/// A claim is a row that is made by compare-and-set before the request is dispatched. All claims
/// that wait go into one commit, and at most one commit is under way. Pure.
class key_claims
{
public:
    explicit key_claims(key_claims_options options);

    std::vector<claims_action> handle(const claims_event& event, instant now, wall_time today);

    std::size_t size() const { return m_claims.size(); }

private:
    using actions = std::vector<claims_action>;

    enum class phase
    {
        wanted, ///< To be written; nobody may dispatch yet.
        held,   ///< Granted.
        ending, ///< Its end is to be written.
    };

    struct local_claim
    {
        key_claim m_claim;
        phase m_phase = phase::wanted;
        std::uint64_t m_version = 0; ///< Of the row that the next write replaces.
        bool m_release = false;      ///< The end is to delete the row.
        int m_tries = 0;
        instant m_since{};
    };

    void on(const claim_requested& event, actions& out);
    void on(const claim_ended& event, actions& out);
    void on(const claims_committed& event, actions& out);
    void on(const claims_scanned& event, actions& out);
    void on(const claims_tick& event, actions& out);

    void refuse_known(const request_id& request, const std::string& fingerprint,
                      const local_claim& known, actions& out) const;
    void commit_waiting(actions& out);
    std::optional<platform::row_write> write_of(const std::string& key,
                                                const local_claim& claim) const;
    void settle_written(const platform::commit_result& result, actions& out);
    void settle_conflicts(const platform::commit_result& result, actions& out);
    void settle_failed(const failure& why, actions& out);
    void meet_other_row(const std::string& key, const platform::row& row, actions& out);
    void grant(local_claim& claim, std::uint64_t version, actions& out);
    void refuse(const std::string& key, failure why, bool may_be_written, actions& out);
    void drop(const std::string& key);
    bool claims_wait() const;
    bool is_own(const key_claim& claim) const;

    key_claims_options m_options;
    instant m_now{};
    wall_time m_today{};
    std::map<std::string, local_claim> m_claims; ///< By the key of the row.
    std::unordered_map<request_id, std::string> m_keys;
    std::vector<std::string> m_unwritten; ///< Keys of claims that wait for a commit.
    std::vector<std::string> m_batch;     ///< Keys of the commit under way.
    std::vector<platform::row_write> m_expired;
    std::optional<std::uint64_t> m_call;
    std::uint64_t m_last_call = 0;
    instant m_not_before{};
    instant m_last_sweep{};
    unsigned m_sweep_part = 0;
};

} // namespace dragonflygap::request
