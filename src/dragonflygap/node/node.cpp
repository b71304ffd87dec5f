#include "dragonflygap/node/node.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/node/takeover.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

constexpr duration store_timeout = 1500ms;
constexpr duration register_retry = 500ms;

} // namespace

node::node(event_loop& loop, metrics& registry, node_options options)
    : m_loop(loop),
      m_metrics(registry),
      m_options(std::move(options)),
      m_election(m_options.m_election, m_options.m_vm, monotonic_clock::now()),
      m_callers(loop, registry,
                [this]
                {
                    auto callers = m_options.m_callers;
                    callers.m_store = m_options.m_store;
                    callers.m_incarnation = m_options.m_incarnation;
                    callers.m_send_to_leader = [this](const cell::caller_call& call)
                    { return send_to_leader(call); };
                    callers.m_takeover_expected = [this] { return takeover_expected(); };
                    return callers;
                }()),
      m_config(registry, make_config_options())
{
    register_member();
    m_timers.push_back(m_loop.every(m_options.m_tick_interval, [this] { tick(); }));
}

node::~node() = default;

void node::register_member()
{
    m_registering = true;
    const cell::member_record self{
        m_options.m_vm,          m_options.m_data_centre,     to_string(m_options.m_peer_address),
        m_options.m_incarnation, m_options.m_processor_share, m_options.m_coordinator.m_memory_mb};
    cell::transaction change;
    change.m_writes.push_back(
        {{std::string(cell::member_table), m_options.m_vm.m_value}, cell::pack(self)});
    m_options.m_store.m_commit(std::move(change), store_timeout,
                               [this](const outcome<cell::transaction_result>& result)
                               {
                                   m_registering = !result;
                                   if (!result)
                                       m_loop.defer(register_retry, [this] { register_member(); });
                               });
}

config_task_options node::make_config_options()
{
    // Reads that wait longer would confirm the configuration too late.
    constexpr int waits_per_expiry = 5;
    auto watch = m_options.m_config_watch;
    if (m_options.m_keys_expire > duration{})
        watch.m_wait = std::min(watch.m_wait, m_options.m_keys_expire / waits_per_expiry);
    return {.m_vm = m_options.m_vm,
            .m_data_centre = m_options.m_data_centre,
            .m_incarnation = m_options.m_incarnation,
            .m_address = to_string(m_options.m_peer_address),
            .m_directory = m_options.m_directory,
            .m_watch = watch,
            .m_adoption = {.m_keys_expire = m_options.m_keys_expire},
            .m_send = [this](const vm_id& to, const cell::peer_message& message)
            { send(to, message); },
            .m_add_peer = [this](const vm_id& peer, const std::string& address)
            { add_peer(peer, address); },
            .m_on_changed =
                [this]
            {
                if (m_leader != nullptr)
                    m_leader->config_changed();
            }};
}

void node::add_peer(const vm_id& peer, const std::string& address)
{
    if (const auto parsed = parse_endpoint(address))
        m_options.m_peers.m_add(peer, *parsed);
}

bool node::ready() const
{
    if (config() == nullptr || m_stopping)
        return false;
    if (m_leader != nullptr)
        return !m_leader->cut_off();
    return !m_leader_cut_off &&
           monotonic_clock::now() - m_leader_heard_at < m_options.m_ready_timeout;
}

bool node::takeover_expected() const
{
    return m_leader == nullptr && m_last_leader_at != instant{} &&
           monotonic_clock::now() - m_last_leader_at < m_options.m_takeover_timeout;
}

std::optional<vm_id> node::leader() const
{
    if (m_leader != nullptr)
        return m_options.m_vm;
    if (m_known_leader.empty() ||
        monotonic_clock::now() - m_leader_heard_at >= m_options.m_leader_timeout)
        return std::nullopt;
    return m_known_leader;
}

void node::tick()
{
    m_config.tick();
    request_approvals();
    if (m_stopping)
        return tick_stopping();
    if (monotonic_clock::now() - m_members_read_at >= m_options.m_member_read_interval)
        read_members();
    if (m_leader != nullptr)
        return;
    switch (m_election.next(monotonic_clock::now()))
    {
    case cell::election::advice::wait:
        break;
    case cell::election::advice::read_row:
        read_row();
        break;
    case cell::election::advice::campaign:
        campaign();
        break;
    }
}

// The process exits m_flush_time after its last answers, as later iterations of the event loop
// write them.
void node::tick_stopping()
{
    const auto now = monotonic_clock::now();
    const auto elapsed = now - m_stop_started_at;
    if (m_closed_at)
    {
        if (now - *m_closed_at >= m_options.m_flush_time || elapsed >= m_options.m_max_stop_time)
            m_options.m_on_stopped();
        return;
    }
    const bool idle = m_callers.open_count() == 0 && elapsed >= m_options.m_min_stop_time;
    if (!idle && elapsed < m_options.m_max_stop_time - m_options.m_flush_time)
        return;
    log_event(log_level::info, "closing", {{"open", m_callers.open_count()}});
    m_closed_at = now;
    m_callers.close();
    if (m_options.m_on_closing)
        m_options.m_on_closing();
}

void node::read_members()
{
    m_members_read_at = monotonic_clock::now();
    m_options.m_store.m_scan(std::string(cell::member_table), store_timeout,
                             [this](const outcome<std::vector<cell::stored_row>>& rows)
                             {
                                 if (rows)
                                     update_members(*rows);
                             });
}

void node::read_row()
{
    read_members();
    m_options.m_store.m_read(
        {std::string(cell::leader_table), std::string(cell::leader_key)}, store_timeout,
        [this](const outcome<cell::stored_row>& row)
        {
            const auto now = monotonic_clock::now();
            if (!row)
                return m_election.read_failed(now);
            m_election.row_read(cell::unpack<cell::leader_record>(row->m_value), row->m_version,
                                rank(), now);
        });
}

void node::update_members(const std::vector<cell::stored_row>& rows)
{
    const auto former = std::exchange(m_members, {});
    for (const auto& row : rows)
        if (const auto member = cell::unpack<cell::member_record>(row.m_value))
            m_members[member->m_vm] = *member;
    // A leader decides by itself whom it talks to.
    for (const auto& [vm, member] : former)
        if (m_leader == nullptr && vm != m_known_leader && m_members.count(vm) == 0)
            m_options.m_peers.m_remove(vm);
    m_config.set_members(m_members);
    // A leader has removed the row of this VM, which was silent for long.
    if (m_members.count(m_options.m_vm) == 0 && !m_registering)
        register_member();
}

// This VM's rank among the members by processor share, as leading costs processor time.
int node::rank() const
{
    constexpr int max_rank = 8; // members beyond it campaign at the same time; one of them wins
    int higher_ranked_count = 0;
    for (const auto& [vm, member] : m_members)
        if (member.m_processor_share > m_options.m_processor_share ||
            (member.m_processor_share == m_options.m_processor_share && vm < m_options.m_vm))
            ++higher_ranked_count;
    return std::min(higher_ranked_count, max_rank);
}

void node::campaign()
{
    const auto& predecessor = m_election.row();
    log_event(log_level::info, "leader_campaign",
              {{"epoch", predecessor ? predecessor->m_epoch + 1 : 1},
               {"before", predecessor ? predecessor->m_vm.m_value : ""},
               {"silent_ms", to_ms(monotonic_clock::now() - m_leader_heard_at)}});
    // If the predecessor's VM has registered again, its former process has ended.
    const auto registered = predecessor ? m_members.find(predecessor->m_vm) : m_members.end();
    const bool predecessor_gone =
        !predecessor || (registered != m_members.end() &&
                         registered->second.m_incarnation != predecessor->m_incarnation);
    take_over({.m_store = m_options.m_store,
               .m_vm = m_options.m_vm,
               .m_incarnation = m_options.m_incarnation,
               .m_predecessor = predecessor,
               .m_version = m_election.row_version(),
               .m_unix_ms = unix_ms(),
               .m_now = monotonic_clock::now(),
               .m_predecessor_gone = predecessor_gone},
              [this](outcome<cell::recovered_state> result)
              {
                  if (result && !m_stopping)
                      return lead(std::move(*result));
                  if (!result)
                      log_event(log_level::info, "campaign_failed",
                                {{"reason", to_string(result.error().m_reason)}});
                  m_election.campaign_failed(monotonic_clock::now());
              });
}

void node::lead(cell::recovered_state state)
{
    log_event(log_level::info, "leader_started",
              {{"epoch", state.m_self.m_epoch},
               {"jobs", state.m_jobs.size()},
               {"workers", state.m_workers.size()}});
    m_metrics.count("dragonflygap_takeovers_total", {"vm", m_options.m_vm.m_value});
    m_leader_epoch = state.m_self.m_epoch;
    m_leader = std::make_unique<leader_task>(
        m_loop, m_metrics,
        leader_task_options{
            .m_vm = m_options.m_vm,
            .m_address = to_string(m_options.m_peer_address),
            .m_coordinator = m_options.m_coordinator,
            .m_store = m_options.m_store,
            .m_directory = m_options.m_directory,
            .m_workers = m_options.m_workers,
            .m_send = [this](const vm_id& to, const cell::peer_message& message)
            { send(to, message); },
            .m_add_peer = [this](const vm_id& peer, const std::string& address)
            { add_peer(peer, address); },
            .m_remove_peer = [this](const vm_id& peer) { m_options.m_peers.m_remove(peer); },
            .m_redial = [this](const vm_id& peer) { m_options.m_peers.m_redial(peer); },
            .m_config = [this] { return config(); },
            .m_store_answered_at = [this] { return m_config.store_answered_at(); },
            .m_on_deposed = [this](const std::string& cause) { stop_leading(cause); }},
        std::move(state));
    m_callers.leader_changed();
}

void node::stop_leading(std::string_view cause)
{
    if (m_leader == nullptr)
        return;
    log_event(log_level::warning, "leader_deposed", {{"epoch", m_leader_epoch}, {"cause", cause}});
    m_leader.reset();
    m_last_leader_at = monotonic_clock::now();
    m_election.campaign_failed(monotonic_clock::now());
}

void node::stop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stop_started_at = monotonic_clock::now();
    log_event(
        log_level::info, "stopping",
        {{"leads", m_leader != nullptr ? "true" : "false"}, {"open", m_callers.open_count()}});
    m_callers.set_deadline(m_options.m_max_stop_time - m_options.m_flush_time);
    if (m_leader == nullptr)
        return;
    m_leader->resign();
    m_leader.reset();
    m_last_leader_at = monotonic_clock::now();
}

} // namespace dragonflygap::node
