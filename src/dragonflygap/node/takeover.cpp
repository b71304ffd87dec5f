#include "dragonflygap/node/takeover.hpp"

#include <utility>

namespace dragonflygap::node
{

namespace
{

using takeover_done = std::function<void(outcome<cell::recovered_state>)>;

struct taking_over
{
    takeover_options m_options;
    takeover_done m_done;
    cell::recovered_state m_found;
    int m_missing = 0;
    bool m_failed = false;
};
using taking_over_ptr = std::shared_ptr<taking_over>;

void scan(const taking_over_ptr& state, std::string_view table,
          std::function<void(std::vector<cell::stored_row>)> take)
{
    ++state->m_missing;
    state->m_options.m_store.m_scan(
        std::string(table), state->m_options.m_timeout,
        [state, take = std::move(take)](outcome<std::vector<cell::stored_row>> rows)
        {
            --state->m_missing;
            if (state->m_failed)
                return;
            if (!rows)
            {
                state->m_failed = true;
                return state->m_done(tl::make_unexpected(rows.error()));
            }
            take(std::move(*rows));
            if (state->m_missing == 0)
                state->m_done(std::move(state->m_found));
        });
}

void read_rows(const taking_over_ptr& state)
{
    scan(state, cell::job_table,
         [state](std::vector<cell::stored_row> rows) { state->m_found.m_jobs = std::move(rows); });
    scan(state, cell::progress_table,
         [state](std::vector<cell::stored_row> rows)
         { state->m_found.m_progress = std::move(rows); });
    scan(state, cell::workers_table,
         [state](const std::vector<cell::stored_row>& rows)
         {
             for (const auto& row : rows)
                 if (auto record = cell::unpack<cell::workers_record>(row.m_value))
                     state->m_found.m_workers = std::move(record->m_workers);
         });
}

} // namespace

void take_over(takeover_options options, takeover_done done)
{
    auto state = std::make_shared<taking_over>();
    const auto& before = options.m_before;
    state->m_found.m_self = {.m_epoch = before ? before->m_epoch + 1 : 1,
                             .m_vm = options.m_vm,
                             .m_incarnation = options.m_incarnation};
    state->m_found.m_predecessor_gone = options.m_predecessor_gone;
    state->m_options = std::move(options);
    state->m_done = std::move(done);
    const cell::row_name row{std::string(cell::leader_table), std::string(cell::leader_key)};
    cell::transaction change;
    change.m_conditions.push_back({row, state->m_options.m_version});
    change.m_writes.push_back({row, cell::pack(state->m_found.m_self)});
    state->m_options.m_store.m_commit(
        std::move(change), state->m_options.m_timeout,
        [state](const outcome<cell::transaction_result>& result)
        {
            if (!result)
                return state->m_done(tl::make_unexpected(result.error()));
            if (!result->m_committed)
                return state->m_done(
                    fail(verdict::not_run, reason::conflict, "another VM was faster"));
            state->m_found.m_version = result->m_version;
            state->m_found.m_unix_ms = state->m_options.m_unix_ms;
            read_rows(state);
        });
}

} // namespace dragonflygap::node
