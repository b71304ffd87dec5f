#include "dragonflygap/config/change.hpp"

#include <utility>

namespace dragonflygap::config
{

namespace
{

constexpr duration retry_delay = 200ms;

} // namespace

std::vector<change_action> change::handle(const change_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& what) { on(what, now, out); }, event);
    return out;
}

void change::on(const change_started& /*event*/, instant now, actions& out)
{
    m_started = now;
    read_rows({}, out);
}

void change::read_rows(duration delay, actions& out)
{
    out.emplace_back(read_change_rows{"config/", delay});
}

void change::retry_or_give_up(const failure& why, instant now, actions& out)
{
    if (m_sent && now - m_started < m_options.m_give_up)
    {
        read_rows(retry_delay, out);
        return;
    }
    failure result = why;
    result.m_verdict = m_sent ? verdict::may_have_run : verdict::not_run;
    out.emplace_back(change_settled{tl::make_unexpected(result), std::nullopt});
}

void change::on(const change_rows_read& event, instant now, actions& out)
{
    if (!event.m_rows)
    {
        retry_or_give_up(event.m_rows.error(), now, out);
        return;
    }
    m_row_version = 0;
    m_history_version = 0;
    m_current = {};
    const auto slot = history_key(m_options.m_expected + 1);
    std::optional<revision> own;
    for (const auto& row : *event.m_rows)
    {
        const auto read = read_revision(row.m_value);
        if (row.m_key == current_key)
        {
            m_row_version = row.m_version;
            m_current = read.value_or(revision{});
        }
        if (row.m_key == slot)
            m_history_version = row.m_version;
        if (read && read->m_change == m_options.m_id)
            own = read;
    }
    if (own)
    {
        out.emplace_back(change_settled{*own, m_current});
        return;
    }
    if (m_current.m_number != m_options.m_expected)
        return settle_conflict(out);
    commit(out);
}

void change::settle_conflict(actions& out)
{
    auto text = "revision " + std::to_string(m_current.m_number) + " is in force, not " +
                std::to_string(m_options.m_expected);
    out.emplace_back(
        change_settled{fail(verdict::not_run, reason::conflict, std::move(text)), m_current});
}

void change::commit(actions& out)
{
    const auto value = write_revision({.m_number = m_options.m_expected + 1,
                                       .m_change = m_options.m_id,
                                       .m_text = m_options.m_text});
    out.emplace_back(commit_change{
        {{.m_key = std::string(current_key), .m_expected_version = m_row_version, .m_value = value},
         {.m_key = history_key(m_options.m_expected + 1),
          .m_expected_version = m_history_version,
          .m_value = value}}});
}

void change::on(const change_committed& event, instant now, actions& out)
{
    if (!event.m_result)
    {
        m_sent = m_sent || event.m_result.error().m_verdict != verdict::not_run;
        retry_or_give_up(event.m_result.error(), now, out);
        return;
    }
    if (!event.m_result->m_committed)
    {
        // Another change was faster, or an earlier commit of this one took effect after all.
        read_rows({}, out);
        return;
    }
    const revision own{.m_number = m_options.m_expected + 1,
                       .m_change = m_options.m_id,
                       .m_text = m_options.m_text};
    out.emplace_back(change_settled{own, own});
}

} // namespace dragonflygap::config
