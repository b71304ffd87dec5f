#include "dragonflygap/request/key_claims.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace dragonflygap::request
{

namespace
{

constexpr int max_commit_attempts = 2;
constexpr unsigned sweep_partition_count = 256;
constexpr std::size_t max_deletes_per_sweep = 32;

failure key_in_use_failure(const char* detail)
{
    return {verdict::not_run, reason::key_in_use, detail};
}

failure key_unresolved_failure()
{
    return {verdict::may_have_run, reason::key_unresolved,
            "an earlier request with this key may have run"};
}

failure answer_not_stored_failure()
{
    return {verdict::ran, reason::key_in_use,
            "the request with this key has run; its answer was too large to store"};
}

failure table_unavailable_failure()
{
    return {verdict::not_run, reason::platform_unavailable,
            "the key can't be claimed while the platform's table doesn't answer"};
}

} // namespace

key_claims::key_claims(key_claims_options options) : m_options(std::move(options)) {}

std::vector<claims_action> key_claims::handle(const claims_event& event, instant now,
                                              wall_time wall_now)
{
    m_now = now;
    m_wall_now = wall_now;
    actions out;
    std::visit([&](const auto& alternative) { on(alternative, out); }, event);
    commit_pending(out);
    return out;
}

void key_claims::on(const claim_requested& event, actions& out)
{
    if (const auto known = m_claims.find(event.m_row_key); known != m_claims.end())
        return answer_duplicate(event.m_request, event.m_fingerprint, known->second, out);
    if (m_claims.size() >= m_options.m_max_claims)
    {
        out.emplace_back(claim_refused{event.m_request, table_unavailable_failure()});
        return;
    }
    m_claims[event.m_row_key] = {.m_claim = {.m_request = event.m_request,
                                             .m_vm = m_options.m_vm,
                                             .m_incarnation = m_options.m_incarnation,
                                             .m_fingerprint = event.m_fingerprint,
                                             .m_expires = m_wall_now + m_options.m_lifetime},
                                 .m_requested_at = m_now};
    m_row_key_by_request[event.m_request] = event.m_row_key;
    m_pending_keys.push_back(event.m_row_key);
}

void key_claims::answer_duplicate(const request_id& request, const std::string& fingerprint,
                                  const local_claim& known, actions& out) const
{
    const auto& claim = known.m_claim;
    const bool ended = known.m_phase == phase::ending && !known.m_delete_row;
    if (claim.m_fingerprint != fingerprint)
        out.emplace_back(claim_refused{
            request, key_in_use_failure("the key was already used with another body")});
    else if (!ended)
        out.emplace_back(
            claim_refused{request, key_in_use_failure("a request with this key is in progress")});
    else if (claim.m_state == claim_state::may_have_run)
        out.emplace_back(claim_refused{request, key_unresolved_failure()});
    else if (claim.m_answer)
        out.emplace_back(claim_answered{request, *claim.m_answer});
    else
        out.emplace_back(claim_refused{request, answer_not_stored_failure()});
}

void key_claims::on(const claim_ended& event, actions& /*out*/)
{
    const auto key = m_row_key_by_request.find(event.m_request);
    if (key == m_row_key_by_request.end())
        return;
    auto& claim = m_claims.at(key->second);
    if (claim.m_phase != phase::granted)
        return;
    claim.m_phase = phase::ending;
    claim.m_delete_row = event.m_verdict == verdict::not_run;
    claim.m_claim.m_state =
        event.m_verdict == verdict::ran ? claim_state::ran : claim_state::may_have_run;
    if (event.m_answer && event.m_answer->m_body.size() <= m_options.m_max_answer_bytes)
        claim.m_claim.m_answer = event.m_answer;
    m_pending_keys.push_back(key->second);
}

std::optional<platform::row_write> key_claims::make_write(const std::string& key,
                                                          const local_claim& claim) const
{
    if (claim.m_phase == phase::granted)
        return std::nullopt;
    platform::row_write write{.m_key = key, .m_expected_version = claim.m_version};
    if (claim.m_phase == phase::requested || !claim.m_delete_row)
        write.m_value = encode_claim(claim.m_claim);
    return write;
}

void key_claims::commit_pending(actions& out)
{
    // During the retry delay only new claims cause a commit, so that their callers are refused at
    // once if the table is still down. Outcomes wait.
    if (m_call || (m_now < m_retry_at && !has_waiting_claims()))
        return;
    std::vector<platform::row_write> writes;
    std::size_t processed = 0;
    for (; processed < m_pending_keys.size() && writes.size() < m_options.m_max_batch; ++processed)
    {
        const auto found = m_claims.find(m_pending_keys[processed]);
        if (found == m_claims.end() ||
            std::ranges::count(m_batch_keys, m_pending_keys[processed]) != 0)
            continue;
        auto write = make_write(found->first, found->second);
        if (!write)
            continue;
        ++found->second.m_commit_attempts;
        m_batch_keys.push_back(found->first);
        writes.push_back(std::move(*write));
    }
    m_pending_keys.erase(m_pending_keys.begin(),
                         m_pending_keys.begin() + static_cast<std::ptrdiff_t>(processed));
    if (writes.empty())
        writes.swap(m_sweep_deletes);
    if (writes.empty())
        return;
    m_call = ++m_last_call;
    out.emplace_back(commit_claims{*m_call, std::move(writes)});
}

void key_claims::on(const claims_committed& event, actions& out)
{
    // Ignore duplicate results and results of earlier calls.
    if (event.m_call != m_call)
        return;
    m_call.reset();
    if (!event.m_result)
        handle_commit_failure(event.m_result.error(), out);
    else if (event.m_result->m_committed)
        apply_commit(*event.m_result, out);
    else
        resolve_conflicts(*event.m_result, out);
    m_batch_keys.clear();
}

void key_claims::apply_commit(const platform::commit_result& result, actions& out)
{
    for (const auto& key : m_batch_keys)
    {
        const auto found = m_claims.find(key);
        if (found == m_claims.end())
            continue;
        const auto row = std::ranges::find(result.m_rows, key, &platform::row::m_key);
        if (found->second.m_phase == phase::ending)
            drop(key);
        else if (row != result.m_rows.end())
            grant(found->second, row->m_version, out);
    }
}

void key_claims::resolve_conflicts(const platform::commit_result& result, actions& out)
{
    for (const auto& key : m_batch_keys)
    {
        const auto row = std::ranges::find(result.m_rows, key, &platform::row::m_key);
        if (row == result.m_rows.end())
            m_pending_keys.push_back(key); // no conflict of its own; the batch failed as a whole
        else if (m_claims.contains(key))
            resolve_conflict(key, *row, out);
    }
}

void key_claims::resolve_conflict(const std::string& key, const platform::row& row, actions& out)
{
    auto& local = m_claims.at(key);
    const auto other = row.m_version == 0 ? std::nullopt : decode_claim(row.m_value);
    const bool is_this_claim =
        other && is_own(*other) && other->m_request == local.m_claim.m_request;
    if (local.m_phase == phase::ending)
    {
        // The row was deleted, was claimed by another request after it expired, or has already
        // been written by an earlier commit.
        if (!is_this_claim || (!local.m_delete_row && *other == local.m_claim))
            return drop(key);
        local.m_version = row.m_version;
        m_pending_keys.push_back(key);
        return;
    }
    if (is_this_claim)
        return grant(local, row.m_version, out);
    // A row claimed by this process for another request was left by a claim that was abandoned
    // before its commit took effect.
    const bool free = row.m_version == 0 || (other && other->m_expires < m_wall_now) ||
                      (other && is_own(*other) && other->m_state == claim_state::claimed);
    if (free)
    {
        local.m_version = row.m_version;
        m_pending_keys.push_back(key);
        return;
    }
    if (other && other->m_fingerprint != local.m_claim.m_fingerprint)
        return refuse(key, key_in_use_failure("the key was already used with another body"), false,
                      out);
    if (other && other->m_state == claim_state::ran && other->m_answer)
    {
        out.emplace_back(claim_answered{local.m_claim.m_request, *other->m_answer});
        return drop(key);
    }
    if (other && other->m_state == claim_state::ran)
        return refuse(key, answer_not_stored_failure(), false, out);
    const bool in_progress = other && other->m_state == claim_state::claimed &&
                             m_options.m_is_holder_alive(other->m_vm, other->m_incarnation);
    refuse(key,
           in_progress ? key_in_use_failure("a request with this key is in progress")
                       : key_unresolved_failure(),
           false, out);
}

void key_claims::handle_commit_failure(const failure& error, actions& out)
{
    const bool may_have_committed = error.m_verdict != verdict::not_run;
    for (const auto& key : m_batch_keys)
    {
        const auto found = m_claims.find(key);
        if (found == m_claims.end())
            continue;
        auto& claim = found->second;
        const bool retry = claim.m_phase == phase::ending ||
                           (may_have_committed && claim.m_commit_attempts < max_commit_attempts);
        if (retry)
            m_pending_keys.push_back(key);
        else
            refuse(key, table_unavailable_failure(),
                   may_have_committed || claim.m_commit_attempts > 1, out);
    }
    m_retry_at = m_now + m_options.m_retry_delay;
}

bool key_claims::has_waiting_claims() const
{
    return std::ranges::any_of(m_pending_keys,
                               [this](const std::string& key)
                               {
                                   const auto found = m_claims.find(key);
                                   return found != m_claims.end() &&
                                          found->second.m_phase == phase::requested;
                               });
}

void key_claims::grant(local_claim& claim, std::uint64_t version, actions& out)
{
    claim.m_phase = phase::granted;
    claim.m_version = version;
    out.emplace_back(claim_granted{claim.m_claim.m_request});
}

void key_claims::refuse(const std::string& key, failure error, bool may_be_written, actions& out)
{
    auto& claim = m_claims.at(key);
    out.emplace_back(claim_refused{claim.m_claim.m_request, std::move(error)});
    if (!may_be_written)
        return drop(key);
    claim.m_phase = phase::ending;
    claim.m_delete_row = true;
    m_pending_keys.push_back(key);
}

void key_claims::drop(const std::string& key)
{
    const auto found = m_claims.find(key);
    m_row_key_by_request.erase(found->second.m_claim.m_request);
    m_claims.erase(found);
}

bool key_claims::is_own(const key_claim& claim) const
{
    return claim.m_vm == m_options.m_vm && claim.m_incarnation == m_options.m_incarnation;
}

void key_claims::on(const claims_scanned& event, actions& /*out*/)
{
    if (!event.m_rows)
        return;
    for (const auto& row : *event.m_rows)
    {
        const auto claim = decode_claim(row.m_value);
        const bool orphaned = claim && is_own(*claim) && claim->m_state == claim_state::claimed &&
                              !m_claims.contains(row.m_key);
        if (!claim || orphaned || claim->m_expires < m_wall_now)
            m_sweep_deletes.push_back({.m_key = row.m_key, .m_expected_version = row.m_version});
        if (m_sweep_deletes.size() >= max_deletes_per_sweep)
            return;
    }
}

void key_claims::on(const claims_tick& /*event*/, actions& out)
{
    std::vector<std::string> timed_out;
    for (const auto& key : m_pending_keys)
    {
        const auto found = m_claims.find(key);
        if (found != m_claims.end() && found->second.m_phase == phase::requested &&
            m_now - found->second.m_requested_at > m_options.m_claim_timeout)
            timed_out.push_back(key);
    }
    for (const auto& key : timed_out)
        refuse(key, table_unavailable_failure(), m_claims.at(key).m_commit_attempts > 0, out);
    if (m_now - m_last_sweep_at < m_options.m_sweep_interval)
        return;
    m_last_sweep_at = m_now;
    m_sweep_partition = (m_sweep_partition + 1) % sweep_partition_count;
    char partition[3];
    std::snprintf(partition, sizeof partition, "%02x", m_sweep_partition);
    out.emplace_back(scan_claims{std::string(claim_prefix) + partition});
}

} // namespace dragonflygap::request
