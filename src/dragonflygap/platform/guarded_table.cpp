#include "dragonflygap/platform/guarded_table.hpp"

#include <utility>

#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::platform
{

namespace
{

constexpr duration retry_interval = 10ms;

const char* name_of(call_kind kind)
{
    return kind == call_kind::read ? "read" : "write";
}

// A bad request or a missing row is an answer of a working platform, and doesn't count as a
// failure.
template <class T>
bool healthy(const outcome<T>& result)
{
    return result.has_value() || result.error().m_reason == reason::bad_request ||
           result.error().m_reason == reason::not_found;
}

} // namespace

guarded_table::guarded_table(event_loop& loop, table_port table, call_gate_options options,
                             metrics& registry)
    : m_loop(loop), m_table(std::move(table)), m_gate(options), m_metrics(registry)
{
}

table_port guarded_table::port(call_priority priority)
{
    return {
        .m_scan =
            [this, priority](const std::string& prefix, const read_done& done)
        {
            enqueue(call_kind::read, priority,
                    {.m_start =
                         [this, prefix, done](gate_call_id id)
                     {
                         m_table.m_scan(prefix,
                                        [this, id, done, started = monotonic_clock::now()](
                                            outcome<std::vector<row>> rows)
                                        {
                                            on_answer(id, call_kind::read, started, rows);
                                            done(std::move(rows));
                                        });
                     },
                     .m_reject = [done](failure error)
                     { done(tl::make_unexpected(std::move(error))); }});
        },
        .m_commit =
            [this, priority](const std::vector<row_write>& writes, const commit_done& done)
        {
            enqueue(call_kind::write, priority,
                    {.m_start =
                         [this, writes, done](gate_call_id id)
                     {
                         m_table.m_commit(writes,
                                          [this, id, done, started = monotonic_clock::now()](
                                              outcome<commit_result> result)
                                          {
                                              on_answer(id, call_kind::write, started, result);
                                              done(std::move(result));
                                          });
                     },
                     .m_reject = [done](failure error)
                     { done(tl::make_unexpected(std::move(error))); }});
        },
    };
}

void guarded_table::set_vm_count(int vm_count)
{
    process_event(vm_count_changed{vm_count});
}

void guarded_table::enqueue(call_kind kind, call_priority priority, pending_call call)
{
    const auto id = ++m_last_id;
    m_pending[id] = std::move(call);
    // Callbacks must run later, never within this call.
    m_loop.post([this, id, kind, priority] { process_event(call_requested{id, kind, priority}); });
}

void guarded_table::process_event(const gate_event& event)
{
    for (const auto& action : m_gate.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& alternative) { execute(alternative); }, action);
    m_metrics.set("dragonflygap_platform_waiting", {}, static_cast<double>(m_gate.waiting()));
    m_timer.reset();
    if (m_gate.waiting() > 0)
        m_timer = m_loop.after(retry_interval, [this] { process_event(gate_tick{}); });
}

void guarded_table::execute(const start_call& action)
{
    const auto node = m_pending.extract(action.m_id);
    if (!node.empty())
        node.mapped().m_start(action.m_id);
}

void guarded_table::execute(const reject_call& action)
{
    const auto node = m_pending.extract(action.m_id);
    if (node.empty())
        return;
    m_metrics.count("dragonflygap_platform_refused_total", {"reason", action.m_detail});
    node.mapped().m_reject({verdict::not_run, reason::platform_unavailable, action.m_detail});
}

template <class T>
void guarded_table::on_answer(gate_call_id id, call_kind kind, instant started,
                              const outcome<T>& result)
{
    m_metrics.observe("dragonflygap_platform_call_seconds", {"kind", name_of(kind)},
                      monotonic_clock::now() - started);
    m_metrics.count("dragonflygap_platform_calls_total",
                    {"outcome", result ? "ok" : to_string(result.error().m_reason)});
    process_event(call_finished{id, healthy(result)});
}

} // namespace dragonflygap::platform
