#include "dragonflygap/request/key_claims.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace dragonflygap::request
{

namespace
{

constexpr int max_tries = 2;
constexpr unsigned sweep_parts = 256;
constexpr std::size_t max_swept = 32;

failure in_use(const char* detail)
{
    return {verdict::not_run, reason::key_in_use, detail};
}

failure unresolved()
{
    return {verdict::may_have_run, reason::key_unresolved,
            "an earlier request with this key may have run"};
}

failure answer_not_kept()
{
    return {verdict::ran, reason::key_in_use,
            "the request with this key has run; its answer was too large to keep"};
}

failure unavailable()
{
    return {verdict::not_run, reason::platform_unavailable,
            "the key can't be claimed while the platform's table doesn't answer"};
}

} // namespace

key_claims::key_claims(key_claims_options options) : m_options(std::move(options)) {}

std::vector<claims_action> key_claims::handle(const claims_event& event, instant now,
                                              wall_time today)
{
    m_now = now;
    m_today = today;
    actions out;
    std::visit([&](const auto& what) { on(what, out); }, event);
    commit_waiting(out);
    return out;
}

void key_claims::on(const claim_requested& event, actions& out)
{
    if (const auto known = m_claims.find(event.m_row_key); known != m_claims.end())
        return refuse_known(event.m_request, event.m_fingerprint, known->second, out);
    if (m_claims.size() >= m_options.m_max_claims)
    {
        out.emplace_back(claim_refused{event.m_request, unavailable()});
        return;
    }
    m_claims[event.m_row_key] = {.m_claim = {.m_request = event.m_request,
                                             .m_vm = m_options.m_vm,
                                             .m_incarnation = m_options.m_incarnation,
                                             .m_fingerprint = event.m_fingerprint,
                                             .m_expires = m_today + m_options.m_lifetime},
                                 .m_since = m_now};
    m_keys[event.m_request] = event.m_row_key;
    m_unwritten.push_back(event.m_row_key);
}

void key_claims::refuse_known(const request_id& request, const std::string& fingerprint,
                              const local_claim& known, actions& out) const
{
    const auto& claim = known.m_claim;
    const bool ended = known.m_phase == phase::ending && !known.m_release;
    if (claim.m_fingerprint != fingerprint)
        out.emplace_back(claim_refused{request, in_use("the key came with another body before")});
    else if (!ended)
        out.emplace_back(claim_refused{request, in_use("a request with this key is under way")});
    else if (claim.m_state == claim_state::may_have_run)
        out.emplace_back(claim_refused{request, unresolved()});
    else if (claim.m_answer)
        out.emplace_back(claim_answered{request, *claim.m_answer});
    else
        out.emplace_back(claim_refused{request, answer_not_kept()});
}

void key_claims::on(const claim_ended& event, actions& /*out*/)
{
    const auto key = m_keys.find(event.m_request);
    if (key == m_keys.end())
        return;
    auto& claim = m_claims.at(key->second);
    if (claim.m_phase != phase::held)
        return;
    claim.m_phase = phase::ending;
    claim.m_release = event.m_verdict == verdict::not_run;
    claim.m_claim.m_state =
        event.m_verdict == verdict::ran ? claim_state::ran : claim_state::may_have_run;
    if (event.m_answer && event.m_answer->m_body.size() <= m_options.m_max_answer_bytes)
        claim.m_claim.m_answer = event.m_answer;
    m_unwritten.push_back(key->second);
}

std::optional<platform::row_write> key_claims::write_of(const std::string& key,
                                                        const local_claim& claim) const
{
    if (claim.m_phase == phase::held)
        return std::nullopt;
    platform::row_write write{.m_key = key, .m_expected_version = claim.m_version};
    if (claim.m_phase == phase::wanted || !claim.m_release)
        write.m_value = encode_claim(claim.m_claim);
    return write;
}

void key_claims::commit_waiting(actions& out)
{
    // Claims need an answer at once, also that the table is down; ends can wait.
    if (m_call || (m_now < m_not_before && !claims_wait()))
        return;
    std::vector<platform::row_write> writes;
    std::size_t taken = 0;
    for (; taken < m_unwritten.size() && writes.size() < m_options.m_max_batch; ++taken)
    {
        const auto found = m_claims.find(m_unwritten[taken]);
        if (found == m_claims.end() || std::ranges::count(m_batch, m_unwritten[taken]) != 0)
            continue;
        auto write = write_of(found->first, found->second);
        if (!write)
            continue;
        ++found->second.m_tries;
        m_batch.push_back(found->first);
        writes.push_back(std::move(*write));
    }
    m_unwritten.erase(m_unwritten.begin(),
                      m_unwritten.begin() + static_cast<std::ptrdiff_t>(taken));
    if (writes.empty())
        writes.swap(m_expired);
    if (writes.empty())
        return;
    m_call = ++m_last_call;
    out.emplace_back(commit_claims{*m_call, std::move(writes)});
}

void key_claims::on(const claims_committed& event, actions& out)
{
    // A call that was reported before, or given up, says nothing about the one under way.
    if (event.m_call != m_call)
        return;
    m_call.reset();
    if (!event.m_result)
        settle_failed(event.m_result.error(), out);
    else if (event.m_result->m_committed)
        settle_written(*event.m_result, out);
    else
        settle_conflicts(*event.m_result, out);
    m_batch.clear();
}

void key_claims::settle_written(const platform::commit_result& result, actions& out)
{
    for (const auto& key : m_batch)
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

void key_claims::settle_conflicts(const platform::commit_result& result, actions& out)
{
    for (const auto& key : m_batch)
    {
        const auto row = std::ranges::find(result.m_rows, key, &platform::row::m_key);
        if (row == result.m_rows.end())
            m_unwritten.push_back(key); // kept back by the others; its own row was as expected
        else if (m_claims.contains(key))
            meet_other_row(key, *row, out);
    }
}

void key_claims::meet_other_row(const std::string& key, const platform::row& row, actions& out)
{
    auto& local = m_claims.at(key);
    const auto other = row.m_version == 0 ? std::nullopt : decode_claim(row.m_value);
    const bool ours = other && is_own(*other) && other->m_request == local.m_claim.m_request;
    if (local.m_phase == phase::ending)
    {
        // The row has gone, was taken over after its expiry, or an earlier try wrote it already.
        if (!ours || (!local.m_release && *other == local.m_claim))
            return drop(key);
        local.m_version = row.m_version;
        m_unwritten.push_back(key);
        return;
    }
    if (ours)
        return grant(local, row.m_version, out);
    // Claims of this process that it doesn't know were given up before they took effect.
    const bool free = row.m_version == 0 || (other && other->m_expires < m_today) ||
                      (other && is_own(*other) && other->m_state == claim_state::claimed);
    if (free)
    {
        local.m_version = row.m_version;
        m_unwritten.push_back(key);
        return;
    }
    if (other && other->m_fingerprint != local.m_claim.m_fingerprint)
        return refuse(key, in_use("the key came with another body before"), false, out);
    if (other && other->m_state == claim_state::ran && other->m_answer)
    {
        out.emplace_back(claim_answered{local.m_claim.m_request, *other->m_answer});
        return drop(key);
    }
    if (other && other->m_state == claim_state::ran)
        return refuse(key, answer_not_kept(), false, out);
    const bool under_way = other && other->m_state == claim_state::claimed &&
                           m_options.m_is_holder_alive(other->m_vm, other->m_incarnation);
    refuse(key, under_way ? in_use("a request with this key is under way") : unresolved(), false,
           out);
}

void key_claims::settle_failed(const failure& why, actions& out)
{
    const bool lost = why.m_verdict != verdict::not_run;
    for (const auto& key : m_batch)
    {
        const auto found = m_claims.find(key);
        if (found == m_claims.end())
            continue;
        auto& claim = found->second;
        const bool again = claim.m_phase == phase::ending || (lost && claim.m_tries < max_tries);
        if (again)
            m_unwritten.push_back(key);
        else
            refuse(key, unavailable(), lost || claim.m_tries > 1, out);
    }
    m_not_before = m_now + m_options.m_retry_after;
}

bool key_claims::claims_wait() const
{
    return std::ranges::any_of(m_unwritten,
                               [this](const std::string& key)
                               {
                                   const auto found = m_claims.find(key);
                                   return found != m_claims.end() &&
                                          found->second.m_phase == phase::wanted;
                               });
}

void key_claims::grant(local_claim& claim, std::uint64_t version, actions& out)
{
    claim.m_phase = phase::held;
    claim.m_version = version;
    out.emplace_back(claim_granted{claim.m_claim.m_request});
}

void key_claims::refuse(const std::string& key, failure why, bool may_be_written, actions& out)
{
    auto& claim = m_claims.at(key);
    out.emplace_back(claim_refused{claim.m_claim.m_request, std::move(why)});
    if (!may_be_written)
        return drop(key);
    claim.m_phase = phase::ending;
    claim.m_release = true;
    m_unwritten.push_back(key);
}

void key_claims::drop(const std::string& key)
{
    const auto found = m_claims.find(key);
    m_keys.erase(found->second.m_claim.m_request);
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
        const bool given_up = claim && is_own(*claim) && claim->m_state == claim_state::claimed &&
                              !m_claims.contains(row.m_key);
        if (!claim || given_up || claim->m_expires < m_today)
            m_expired.push_back({.m_key = row.m_key, .m_expected_version = row.m_version});
        if (m_expired.size() >= max_swept)
            return;
    }
}

void key_claims::on(const claims_tick& /*event*/, actions& out)
{
    std::vector<std::string> late;
    for (const auto& key : m_unwritten)
    {
        const auto found = m_claims.find(key);
        if (found != m_claims.end() && found->second.m_phase == phase::wanted &&
            m_now - found->second.m_since > m_options.m_longest_wait)
            late.push_back(key);
    }
    for (const auto& key : late)
        refuse(key, unavailable(), m_claims.at(key).m_tries > 0, out);
    if (m_now - m_last_sweep < m_options.m_sweep_every)
        return;
    m_last_sweep = m_now;
    m_sweep_part = (m_sweep_part + 1) % sweep_parts;
    char part[3];
    std::snprintf(part, sizeof part, "%02x", m_sweep_part);
    out.emplace_back(scan_claims{std::string(claim_prefix) + part});
}

} // namespace dragonflygap::request
