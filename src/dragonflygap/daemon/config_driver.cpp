#include "dragonflygap/daemon/config_driver.hpp"

#include <utility>

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration poll_interval = 2s;
constexpr const char* config_key = "config/current";

} // namespace

config_driver::config_driver(event_loop& loop, platform::table_port table, changed_hook on_changed)
    : m_table(std::move(table)),
      m_on_changed(std::move(on_changed)),
      m_timer(loop.every(poll_interval, [this] { poll(); }))
{
    loop.post([this] { poll(); });
}

void config_driver::poll()
{
    if (std::exchange(m_polling, true))
        return;
    m_table.m_scan(config_key,
                   [this](outcome<std::vector<platform::row>> rows)
                   {
                       m_polling = false;
                       if (rows && !rows->empty())
                           offer(rows->front().m_version, rows->front().m_value);
                   });
}

void config_driver::offer(std::uint64_t version, const std::string& text)
{
    if (!m_follower.offer(version, text))
        return;
    log_event(log_level::info, "config_in_force", {{"version", version}});
    m_on_changed(m_follower.in_force());
}

void config_driver::on_peer_version(std::uint64_t version)
{
    if (version > m_follower.in_force().m_version)
        poll();
}

void config_driver::apply(std::uint64_t expected_version, std::string text, applied_hook done)
{
    std::vector<platform::row_write> writes{
        {.m_key = config_key, .m_expected_version = expected_version, .m_value = text}};
    m_table.m_commit(std::move(writes),
                     [this, text, done = std::move(done)](outcome<platform::commit_result> result)
                     {
                         if (!result)
                             return done(tl::make_unexpected(result.error()));
                         const auto& row = result->m_rows.front();
                         offer(row.m_version, row.m_value);
                         done(apply_result{result->m_committed, row.m_version});
                     });
}

} // namespace dragonflygap::daemon
