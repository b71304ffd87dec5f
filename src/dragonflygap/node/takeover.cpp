#include "dragonflygap/node/takeover.hpp"

#include <utility>

#include "dragonflygap/cell/row_split.hpp"

namespace dragonflygap::node
{

namespace
{

using takeover_done = std::function<void(outcome<cell::recovered_state>)>;

struct takeover_state
{
    takeover_options m_options;
    takeover_done m_done;
    cell::recovered_state m_recovered;
    int m_pending_scans = 0;
    bool m_failed = false;
};
using takeover_state_ptr = std::shared_ptr<takeover_state>;

void scan(const takeover_state_ptr& state, std::string_view table,
          std::function<void(std::vector<cell::stored_row>)> on_rows)
{
    ++state->m_pending_scans;
    state->m_options.m_store.m_scan(
        std::string(table), state->m_options.m_timeout,
        [state, on_rows = std::move(on_rows)](outcome<std::vector<cell::stored_row>> rows)
        {
            --state->m_pending_scans;
            if (state->m_failed)
                return;
            if (!rows)
            {
                state->m_failed = true;
                return state->m_done(tl::make_unexpected(rows.error()));
            }
            on_rows(std::move(*rows));
            if (state->m_pending_scans == 0)
                state->m_done(std::move(state->m_recovered));
        });
}

void read_rows(const takeover_state_ptr& state)
{
    scan(state, cell::job_table,
         [state](std::vector<cell::stored_row> rows)
         { state->m_recovered.m_jobs = std::move(rows); });
    scan(state, cell::progress_table,
         [state](std::vector<cell::stored_row> rows)
         { state->m_recovered.m_progress = std::move(rows); });
    scan(state, cell::workers_table,
         [state](const std::vector<cell::stored_row>& rows)
         {
             cell::workers_record all;
             for (const auto& row : rows)
                 if (auto record = cell::unpack<cell::workers_record>(row.m_value))
                     cell::merge(all, std::move(*record));
             state->m_recovered.m_workers = std::move(all.m_workers);
             state->m_recovered.m_workers_epoch = all.m_epoch;
             state->m_recovered.m_unheard = std::move(all.m_unheard);
             state->m_recovered.m_lives = std::move(all.m_lives);
             state->m_recovered.m_worker_rows = rows.size();
         });
}

} // namespace

void take_over(takeover_options options, takeover_done done)
{
    auto state = std::make_shared<takeover_state>();
    const auto& predecessor = options.m_predecessor;
    state->m_recovered.m_self = {.m_epoch = predecessor ? predecessor->m_epoch + 1 : 1,
                                 .m_vm = options.m_vm,
                                 .m_incarnation = options.m_incarnation};
    // A predecessor of an earlier build doesn't know the field.
    auto& self = state->m_recovered.m_self;
    self.m_uses_stored_since = predecessor && predecessor->m_uses_stored_since != 0
                                   ? predecessor->m_uses_stored_since
                                   : self.m_epoch;
    state->m_recovered.m_predecessor_gone = options.m_predecessor_gone;
    state->m_options = std::move(options);
    state->m_done = std::move(done);
    const cell::row_name row{std::string(cell::leader_table), std::string(cell::leader_key)};
    cell::transaction change;
    change.m_conditions.push_back({row, state->m_options.m_version});
    change.m_writes.push_back({row, cell::pack(state->m_recovered.m_self)});
    state->m_options.m_store.m_commit(
        std::move(change), state->m_options.m_timeout,
        [state](const outcome<cell::transaction_result>& result)
        {
            if (!result)
                return state->m_done(tl::make_unexpected(result.error()));
            if (!result->m_committed)
                return state->m_done(
                    fail(verdict::not_run, reason::conflict, "another VM won the election"));
            state->m_recovered.m_version = result->m_version;
            state->m_recovered.m_store_ms = result->m_clock_ms;
            state->m_recovered.m_unix_ms = state->m_options.m_unix_ms;
            state->m_recovered.m_elected_at = state->m_options.m_now;
            read_rows(state);
        });
}

} // namespace dragonflygap::node
