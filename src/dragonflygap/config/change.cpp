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
    std::visit([&](const auto& alternative) { on(alternative, now, out); }, event);
    return out;
}

void change::on(const change_started& /*event*/, instant now, actions& out)
{
    m_started = now;
    read_rows({}, out);
}

void change::read_rows(duration delay, actions& out)
{
    m_reading_slot = false;
    out.emplace_back(read_change_rows{std::string(head_key), delay});
}

void change::retry_or_give_up(const failure& error, instant now, actions& out)
{
    if (m_may_have_committed && now - m_started < m_options.m_timeout)
    {
        read_rows(retry_delay, out);
        return;
    }
    failure result = error;
    result.m_verdict = m_may_have_committed ? verdict::may_have_run : verdict::not_run;
    out.emplace_back(change_settled{tl::make_unexpected(result)});
}

void change::on(const change_rows_read& event, instant now, actions& out)
{
    if (!event.m_rows)
    {
        retry_or_give_up(event.m_rows.error(), now, out);
        return;
    }
    if (m_reading_slot)
        on_slot(*event.m_rows, out);
    else
        on_head(*event.m_rows, out);
}

void change::on_head(std::span<const platform::row> rows, actions& out)
{
    m_head_version = rows.empty() ? 0 : rows.front().m_version;
    m_head = rows.empty() ? 0 : parse_head(rows.front().m_value);
    if (!m_may_have_committed && m_head != m_options.m_expected)
        return report_conflict(out);
    m_reading_slot = true;
    out.emplace_back(read_change_rows{history_key(m_options.m_expected + 1)});
}

void change::on_slot(std::span<const platform::row> rows, actions& out)
{
    m_slot_version = rows.empty() ? 0 : rows.front().m_version;
    const auto stored = rows.empty() ? std::nullopt : decode_revision(rows.front().m_value);
    if (stored && stored->m_change == m_options.m_id)
    {
        out.emplace_back(change_settled{*stored});
        return;
    }
    if (m_head != m_options.m_expected)
        return report_conflict(out);
    commit(out);
}

void change::report_conflict(actions& out)
{
    auto text = "version " + std::to_string(m_head) + " is active, not " +
                std::to_string(m_options.m_expected);
    out.emplace_back(change_settled{fail(verdict::not_run, reason::conflict, std::move(text))});
}

void change::commit(actions& out)
{
    const auto number = m_options.m_expected + 1;
    out.emplace_back(commit_change{
        {{.m_key = std::string(head_key),
          .m_expected_version = m_head_version,
          .m_value = std::to_string(number)},
         {.m_key = history_key(number),
          .m_expected_version = m_slot_version,
          .m_value = encode_revision(
              {.m_number = number, .m_change = m_options.m_id, .m_text = m_options.m_text})}}});
}

void change::on(const change_committed& event, instant now, actions& out)
{
    if (!event.m_result)
    {
        m_may_have_committed =
            m_may_have_committed || event.m_result.error().m_verdict != verdict::not_run;
        retry_or_give_up(event.m_result.error(), now, out);
        return;
    }
    if (!event.m_result->m_committed)
    {
        // Another change won, or an earlier commit of this one took effect after all.
        m_may_have_committed = true;
        read_rows({}, out);
        return;
    }
    const revision own{.m_number = m_options.m_expected + 1,
                       .m_change = m_options.m_id,
                       .m_text = m_options.m_text};
    out.emplace_back(change_settled{own});
}

} // namespace dragonflygap::config
