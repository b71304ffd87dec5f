#include "dragonflygap/daemon/config_driver.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration poll_interval = 2s;
constexpr std::size_t max_pending_changes = 64;

} // namespace

config_driver::config_driver(event_loop& loop, platform::table_port table,
                             config_driver_options options)
    : m_loop(loop),
      m_table(std::move(table)),
      m_options(std::move(options)),
      m_timer(loop.every(poll_interval, [this] { poll(); }))
{
    loop.post([this] { poll(); });
}

void config_driver::poll()
{
    if (std::exchange(m_polling, true))
        return;
    m_table.m_scan(std::string(config::head_key),
                   [this](const outcome<std::vector<platform::row>>& rows)
                   {
                       m_polling = false;
                       if (rows)
                           on_head(rows->empty() ? 0 : config::parse_head(rows->front().m_value));
                   });
}

void config_driver::on_head(std::uint64_t version)
{
    if (version > m_tracker.active_document().m_version)
        return load_revision(version);
    if (std::exchange(m_has_active_document, true))
        return;
    m_options.m_on_changed(m_tracker.active_document());
}

void config_driver::load_revision(std::uint64_t version)
{
    m_table.m_scan(config::history_key(version),
                   [this](const outcome<std::vector<platform::row>>& rows)
                   {
                       if (!rows || rows->empty())
                           return;
                       if (const auto read = config::decode_revision(rows->front().m_value))
                           update_if_newer(read->m_number, read->m_text);
                   });
}

void config_driver::update_if_newer(std::uint64_t version, const std::string& text)
{
    if (!m_tracker.update_if_newer(version, text))
        return;
    m_has_active_document = true;
    log_event(log_level::info, "config_in_force", {{"version", version}});
    m_options.m_on_changed(m_tracker.active_document());
}

void config_driver::on_peer_version(const vm_id& peer, std::uint64_t version)
{
    if (version <= std::max(m_tracker.active_document().m_version, m_requested_version))
        return;
    m_requested_version = version;
    m_options.m_request_document(peer);
    poll();
    // The answer may be lost: lets a later heartbeat request the document again.
    m_loop.defer(poll_interval, [this] { m_requested_version = 0; });
}

void config_driver::apply(std::uint64_t expected_version, std::string text, applied_hook done)
{
    if (m_changes.size() >= max_pending_changes)
        return done(
            fail(verdict::not_run, reason::queue_full, "too many changes wait to be committed"));
    auto id = m_options.m_change_prefix + "." + std::to_string(++m_last_change);
    m_changes.push_back(
        {config::change(
             {.m_id = std::move(id), .m_expected = expected_version, .m_text = std::move(text)}),
         std::move(done)});
    if (m_changes.size() == 1)
        run_change(config::change_started{});
}

void config_driver::run_change(const config::change_event& event)
{
    for (const auto& action : m_changes.front().m_change.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& alternative) { act(alternative); }, action);
}

void config_driver::act(const config::read_change_rows& action)
{
    m_loop.defer(action.m_delay,
                 [this, prefix = action.m_prefix]
                 {
                     m_table.m_scan(prefix, [this](outcome<std::vector<platform::row>> rows)
                                    { run_change(config::change_rows_read{std::move(rows)}); });
                 });
}

void config_driver::act(const config::commit_change& action)
{
    m_table.m_commit(action.m_writes, [this](outcome<platform::commit_result> result)
                     { run_change(config::change_committed{std::move(result)}); });
}

void config_driver::act(const config::change_settled& action)
{
    if (action.m_result)
    {
        log_event(log_level::info, "config_accepted",
                  {{"version", action.m_result->m_number}, {"change", action.m_result->m_change}});
        update_if_newer(action.m_result->m_number, action.m_result->m_text);
        m_options.m_publish(m_tracker.active_document());
    }
    else
        log_event(log_level::info, "config_refused",
                  {{"reason", to_string(action.m_result.error().m_reason)},
                   {"verdict", to_string(action.m_result.error().m_verdict)}});
    // Posted, since the handler of this change is still running and the change can't be destroyed
    // yet.
    m_loop.post(
        [this, result = action.m_result.map([](const auto& made) { return made.m_number; })]
        {
            const auto ended = std::move(m_changes.front());
            m_changes.pop_front();
            ended.m_done(result);
            if (!m_changes.empty())
                run_change(config::change_started{});
        });
}

void config_driver::history(history_hook done)
{
    m_table.m_scan(std::string(config::history_prefix),
                   [done = std::move(done)](outcome<std::vector<platform::row>> rows)
                   {
                       if (!rows)
                           return done(tl::make_unexpected(rows.error()));
                       std::vector<config::revision> revisions;
                       for (const auto& row : *rows)
                           if (auto read = config::decode_revision(row.m_value))
                               revisions.push_back(std::move(*read));
                       std::ranges::sort(revisions, std::greater(), &config::revision::m_number);
                       done(std::move(revisions));
                   });
}

} // namespace dragonflygap::daemon
