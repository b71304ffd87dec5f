#include <utility>

#include "dragonflygap/node/node.hpp"
#include "dragonflygap/observe/log.hpp"

// Handles messages of other entry VMs, and asks the approval service on behalf of the leader.
namespace dragonflygap::node
{

bool node::send_to_leader(const cell::caller_call& call)
{
    const auto to = leader();
    if (!to)
        return false;
    if (m_leader != nullptr)
    {
        m_leader->handle(m_options.m_vm, call);
        return true;
    }
    return m_options.m_peers.m_send(*to, cell::encode(m_options.m_vm, call));
}

void node::send(const vm_id& to, const cell::peer_message& message)
{
    if (to != m_options.m_vm)
    {
        m_options.m_peers.m_send(to, cell::encode(m_options.m_vm, message));
        return;
    }
    // Messages to itself go through the event loop too, so that handlers aren't reentered.
    m_loop.post([this, message] { dispatch(m_options.m_vm, message); });
}

void node::on_peer_message(std::string_view bytes)
{
    const auto decoded = cell::decode_peer(bytes);
    if (!decoded)
    {
        log_event(log_level::warning, "peer_message_unreadable", {{"bytes", bytes.size()}});
        return;
    }
    dispatch(decoded->m_from, decoded->m_message);
}

void node::dispatch(const vm_id& from, const cell::peer_message& message)
{
    std::visit([this, &from](const auto& body) { on(from, body); }, message);
}

void node::on(const vm_id& from, const cell::leader_heartbeat& message)
{
    if (from == m_options.m_vm || message.m_epoch < m_leader_epoch)
        return;
    stop_leading("another VM leads");
    const auto now = monotonic_clock::now();
    m_election.heartbeat(message.m_epoch, message.m_commit,
                         std::chrono::milliseconds(message.m_store_age_ms), message.m_resigns, now);
    const bool changed = message.m_epoch > m_leader_epoch || from != m_known_leader;
    m_leader_epoch = message.m_epoch;
    m_known_leader = from;
    m_leader_heard_at = message.m_resigns ? instant{} : now;
    m_last_leader_at = now;
    m_leader_cut_off = message.m_cut_off;
    if (message.m_address != m_leader_address)
        add_peer(from, message.m_address);
    m_leader_address = message.m_address;
    if (!message.m_hears_receiver && now - m_leader_redialled_at > m_options.m_redial_interval)
    {
        m_leader_redialled_at = now;
        log_event(log_level::info, "leader_redialled", {{"leader", from.m_value}});
        m_options.m_peers.m_redial(from);
    }
    if (changed)
    {
        log_event(log_level::info, "leader_known",
                  {{"leader", from.m_value}, {"epoch", message.m_epoch}});
        m_config.leader_changed(from);
        m_callers.leader_changed();
    }
    const auto answered_at = m_config.store_answered_at();
    send(from, cell::member_heartbeat{
                   .m_incarnation = m_options.m_incarnation,
                   .m_config_version = m_config.newest_version(),
                   .m_stopping = m_stopping,
                   .m_store_age_ms = answered_at != instant{} ? to_ms(now - answered_at) : -1});
    m_config.send_to(from, message.m_config_version);
}

void node::on(const vm_id& from, const cell::member_heartbeat& message)
{
    if (m_leader == nullptr)
        return;
    m_leader->handle(from, message);
    m_config.send_to(from, message.m_config_version);
}

void node::on(const vm_id& from, const cell::config_update& message)
{
    m_config.handle(from, message);
}

void node::on(const vm_id& from, const cell::config_inquiry& message)
{
    m_config.handle(from, message);
}

void node::on(const vm_id& from, const cell::config_status& message)
{
    m_config.handle(from, message);
}

void node::on(const vm_id& from, const cell::caller_call& message)
{
    if (m_leader != nullptr)
        m_leader->handle(from, message);
}

void node::on(const vm_id&, const cell::caller_answer& message)
{
    m_callers.on_answer(message);
}

void node::on(const vm_id& from, const cell::approval_call& message)
{
    m_approvals.add(from, message, monotonic_clock::now());
    request_approvals();
}

void node::request_approvals()
{
    for (const auto& expired : m_approvals.remove_expired(monotonic_clock::now()))
        answer_approval(
            expired,
            fail(verdict::not_run, reason::timeout, "not sent to the approval service in time"),
            std::nullopt);
    while (const auto next = m_approvals.next())
    {
        constexpr duration margin = 1s; // on top of the service's expected time for its backlog
        const auto waited = monotonic_clock::now() - next->m_arrived_at;
        m_options.m_approvals.m_request(
            next->m_call.m_step, next->m_call.m_workers, m_approvals.backlog_time() + margin,
            [this, next = *next, waited](const outcome<cell::approval>& result)
            {
                m_approvals.finished(next.m_call);
                answer_approval(next, result, waited);
                request_approvals();
            });
    }
}

void node::answer_approval(const cell::approval_backlog::entry& entry,
                           const outcome<cell::approval>& result, std::optional<duration> waited)
{
    const auto& call = entry.m_call;
    cell::approval_answer answer{.m_epoch = call.m_epoch,
                                 .m_step = call.m_step,
                                 .m_workers = call.m_workers,
                                 .m_succeeded = result.has_value(),
                                 .m_backlog_time_ms = to_ms(m_approvals.backlog_time()),
                                 .m_call = call.m_call,
                                 .m_response_time_ms =
                                     to_ms(monotonic_clock::now() - entry.m_arrived_at),
                                 .m_waited_ms = waited ? to_ms(*waited) : -1};
    if (result)
        answer.m_approval = *result;
    else
        log_event(log_level::info, "approval_failed",
                  {{"job", call.m_step.m_job.m_value},
                   {"queued_ms", answer.m_backlog_time_ms},
                   {"detail", result.error().m_detail}});
    send(entry.m_from, answer);
}

void node::on(const vm_id& from, const cell::approval_answer& message)
{
    if (m_leader != nullptr)
        m_leader->handle(from, message);
}

} // namespace dragonflygap::node
