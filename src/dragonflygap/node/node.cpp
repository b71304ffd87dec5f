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

node::node(event_loop& loop, metrics& counted, node_options options)
    : m_loop(loop),
      m_counted(counted),
      m_options(std::move(options)),
      m_election(m_options.m_election, m_options.m_vm, monotonic_clock::now()),
      m_callers(loop, counted,
                [this]
                {
                    auto callers = m_options.m_callers;
                    callers.m_store = m_options.m_store;
                    callers.m_to_leader = [this](const cell::caller_call& call)
                    { return to_leader(call); };
                    callers.m_takeover_expected = [this] { return takeover_expected(); };
                    return callers;
                }())
{
    register_member();
    watch_config();
    m_timers.push_back(m_loop.every(m_options.m_tick, [this] { tick(); }));
}

node::~node() = default;

void node::register_member()
{
    const cell::member_record self{m_options.m_vm, m_options.m_data_centre,
                                   to_string(m_options.m_peer_address), m_options.m_incarnation,
                                   m_options.m_processor_share};
    cell::transaction change;
    change.m_writes.push_back(
        {{std::string(cell::member_table), m_options.m_vm.m_value}, cell::pack(self)});
    m_options.m_store.m_commit(std::move(change), store_timeout,
                               [this](const outcome<cell::transaction_result>& result)
                               {
                                   if (!result)
                                       m_loop.defer(register_retry, [this] { register_member(); });
                               });
}

void node::watch_config()
{
    m_options.m_directory.m_watch_config(
        m_config_position, m_options.m_config_wait,
        [this](outcome<std::optional<cell::cell_config>> config, std::uint64_t position)
        {
            m_config_position = position;
            if (!config)
            {
                log_event(log_level::warning, "config_not_read",
                          {{"detail", config.error().m_detail}});
                m_loop.defer(m_options.m_config_retry, [this] { watch_config(); });
                return;
            }
            if (*config)
                apply_config(std::move(**config), "store");
            // An empty first reading: the operator hasn't written a configuration yet.
            const bool early = m_config_position <= 1;
            m_loop.defer(early ? m_options.m_config_retry : duration{}, [this] { watch_config(); });
        });
}

void node::apply_config(cell::cell_config config, std::string_view source)
{
    if (m_config && config.m_version <= m_config->m_version)
        return;
    log_event(
        log_level::info, "config_in_force",
        {{"version", config.m_version}, {"queues", config.m_queues.size()}, {"source", source}});
    m_config = std::move(config);
    m_counted.set("dragonflygap_config_version", {"source", source},
                  static_cast<double>(m_config->m_version));
}

bool node::ready() const
{
    if (!m_config || m_stopping)
        return false;
    if (m_leader != nullptr)
        return !m_leader->cut_off();
    return !m_leader_cut_off && monotonic_clock::now() - m_leader_heard < m_options.m_ready_limit;
}

bool node::takeover_expected() const
{
    return m_leader == nullptr && m_leader_seen != instant{} &&
           monotonic_clock::now() - m_leader_seen < m_options.m_takeover_limit;
}

std::optional<vm_id> node::leader() const
{
    if (m_leader != nullptr)
        return m_options.m_vm;
    if (m_known_leader.empty() ||
        monotonic_clock::now() - m_leader_heard >= m_options.m_leader_limit)
        return std::nullopt;
    return m_known_leader;
}

void node::tick()
{
    ask_approvals();
    if (m_stopping)
        return tick_stopping();
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

// The process ends a while after its last answers, as the loop writes them in later turns.
void node::tick_stopping()
{
    const auto now = monotonic_clock::now();
    const auto since = now - m_stop_since;
    if (m_closing_since)
    {
        if (now - *m_closing_since >= m_options.m_last_words || since >= m_options.m_max_stop_time)
            m_options.m_on_stopped();
        return;
    }
    const bool idle = m_callers.open() == 0 && since >= m_options.m_min_stop_time;
    if (!idle && since < m_options.m_max_stop_time - m_options.m_last_words)
        return;
    log_event(log_level::info, "closing", {{"open", m_callers.open()}});
    m_closing_since = now;
    m_callers.end();
    if (m_options.m_on_closing)
        m_options.m_on_closing();
}

void node::read_row()
{
    m_options.m_store.m_scan(std::string(cell::member_table), store_timeout,
                             [this](const outcome<std::vector<cell::stored_row>>& rows)
                             {
                                 if (!rows)
                                     return;
                                 for (const auto& row : *rows)
                                     if (const auto member =
                                             cell::unpack<cell::member_record>(row.m_value))
                                         m_members[member->m_vm] = *member;
                             });
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

// This VM's place among the members: the strongest first, as leading costs processor time.
int node::rank() const
{
    constexpr int last = 8; // the others campaign together; one of them wins
    int before = 0;
    for (const auto& [vm, member] : m_members)
        if (member.m_processor_share > m_options.m_processor_share ||
            (member.m_processor_share == m_options.m_processor_share && vm < m_options.m_vm))
            ++before;
    return std::min(before, last);
}

void node::campaign()
{
    const auto& before = m_election.row();
    log_event(log_level::info, "leader_campaign",
              {{"epoch", before ? before->m_epoch + 1 : 1},
               {"before", before ? before->m_vm.m_value : ""},
               {"silent_ms", to_ms(monotonic_clock::now() - m_leader_heard)}});
    // A member that has registered anew since is a new process: the old one has ended.
    const auto seen = before ? m_members.find(before->m_vm) : m_members.end();
    const bool gone =
        !before || (seen != m_members.end() && seen->second.m_incarnation != before->m_incarnation);
    take_over({.m_store = m_options.m_store,
               .m_vm = m_options.m_vm,
               .m_incarnation = m_options.m_incarnation,
               .m_before = before,
               .m_version = m_election.row_version(),
               .m_unix_ms = unix_ms(),
               .m_predecessor_gone = gone},
              [this](const outcome<cell::recovered_state>& found)
              {
                  if (found && !m_stopping)
                      return lead(*found);
                  if (!found)
                      log_event(log_level::info, "campaign_failed",
                                {{"reason", to_string(found.error().m_reason)}});
                  m_election.campaign_failed(monotonic_clock::now());
              });
}

void node::lead(const cell::recovered_state& found)
{
    log_event(log_level::info, "leader_started",
              {{"epoch", found.m_self.m_epoch},
               {"jobs", found.m_jobs.size()},
               {"workers", found.m_workers.size()}});
    m_counted.count("dragonflygap_takeovers_total", {"vm", m_options.m_vm.m_value});
    m_leader_epoch = found.m_self.m_epoch;
    m_leader = std::make_unique<leader_task>(
        m_loop, m_counted,
        leader_task_options{.m_vm = m_options.m_vm,
                            .m_address = to_string(m_options.m_peer_address),
                            .m_coordinator = m_options.m_coordinator,
                            .m_store = m_options.m_store,
                            .m_directory = m_options.m_directory,
                            .m_workers = m_options.m_workers,
                            .m_send = [this](const vm_id& to, const cell::peer_message& message)
                            { send(to, message); },
                            .m_introduce =
                                [this](const vm_id& peer, const std::string& address)
                            {
                                if (const auto parsed = parse_endpoint(address))
                                    m_options.m_peers.m_add(peer, *parsed);
                            },
                            .m_redial = [this](const vm_id& peer)
                            { m_options.m_peers.m_redial(peer); },
                            .m_config_version = [this]() -> std::uint64_t
                            { return m_config ? m_config->m_version : 0; },
                            .m_on_deposed =
                                [this](const std::string& cause)
                            {
                                log_event(log_level::warning, "leader_deposed",
                                          {{"epoch", m_leader_epoch}, {"cause", cause}});
                                m_leader.reset();
                                m_leader_seen = monotonic_clock::now();
                                m_election.campaign_failed(monotonic_clock::now());
                            }},
        found);
    m_callers.leader_changed();
}

void node::stop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stop_since = monotonic_clock::now();
    log_event(log_level::info, "stopping",
              {{"leads", m_leader != nullptr ? "true" : "false"}, {"open", m_callers.open()}});
    m_callers.end_after(m_options.m_max_stop_time - m_options.m_last_words);
    if (m_leader == nullptr)
        return;
    m_leader->resign();
    m_leader.reset();
    m_leader_seen = monotonic_clock::now();
}

} // namespace dragonflygap::node
