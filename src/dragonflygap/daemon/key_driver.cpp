#include "dragonflygap/daemon/key_driver.hpp"

#include <utility>

namespace dragonflygap::daemon
{

namespace
{

constexpr duration tick_interval = 250ms;

request::wall_time wall_clock_now()
{
    return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

} // namespace

key_driver::key_driver(event_loop& loop, platform::table_port table,
                       request::key_claims_options options, answer_hook on_answer)
    : m_table(std::move(table)),
      m_claims(std::move(options)),
      m_on_answer(std::move(on_answer)),
      m_timer(loop.every(tick_interval, [this] { run(request::claims_tick{}); }))
{
}

void key_driver::handle(request::claim_message message)
{
    std::visit([this](auto& alternative) { run(std::move(alternative)); }, message);
}

void key_driver::run(const request::claims_event& event)
{
    for (const auto& action : m_claims.handle(event, monotonic_clock::now(), wall_clock_now()))
        std::visit([this](const auto& alternative) { act(alternative); }, action);
}

void key_driver::act(const request::commit_claims& action)
{
    m_table.m_commit(action.m_writes,
                     [this, call = action.m_call](outcome<platform::commit_result> result) {
                         run(request::claims_committed{call, std::move(result)});
                     });
}

void key_driver::act(const request::scan_claims& action)
{
    m_table.m_scan(action.m_prefix, [this](outcome<std::vector<platform::row>> rows)
                   { run(request::claims_scanned{std::move(rows)}); });
}

} // namespace dragonflygap::daemon
