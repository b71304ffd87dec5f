#include "dragonflygap/node/config_task.hpp"

#include <utility>
#include <vector>

#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

constexpr int inquiries_per_incarnation_bits = 20; // incarnations are a millisecond apart at least

} // namespace

config_task::config_task(metrics& registry, config_task_options options)
    : m_metrics(registry),
      m_options(std::move(options)),
      m_started_at(monotonic_clock::now()),
      m_watch(m_options.m_watch),
      m_adoption(m_options.m_adoption, m_started_at),
      m_inquiries(m_options.m_inquiries, m_options.m_incarnation << inquiries_per_incarnation_bits)
{
    read_store();
}

void config_task::tick()
{
    m_adoption.tick(monotonic_clock::now());
    read_store();
    inquire();
}

void config_task::read_store()
{
    while (const auto read = m_watch.next(monotonic_clock::now()))
        m_options.m_directory.m_read_config(
            *read,
            [this, number = read->m_number](outcome<std::optional<cell::cell_config>> config,
                                            const cell::read_extent& extent)
            {
                const auto now = monotonic_clock::now();
                if (!config)
                {
                    log_event(log_level::warning, "config_not_read",
                              {{"detail", config.error().m_detail}});
                    m_watch.failed(number, config.error().m_verdict == verdict::not_run, now);
                }
                else
                {
                    m_store_answered_at = now;
                    if (m_watch.answered(number, extent, now))
                    {
                        const bool changed =
                            *config && m_adoption.offer_from_store(std::move(**config));
                        m_adoption.confirm_by_store(m_watch.confirmed_at());
                        if (changed)
                            adopted("store");
                    }
                }
                read_store();
            });
}

// Without the store, the leader's heartbeats tell of new versions. But this VM may not hear the
// leader, or the leader may not know them either.
void config_task::inquire()
{
    constexpr duration start_time = 500ms; // reads of a store that answers take less
    const auto now = monotonic_clock::now();
    const bool needed = m_watch.overdue() || m_adoption.awaits_confirmation(now) ||
                        (config() == nullptr && now - m_started_at > start_time);
    for (const auto& [number, peer] : m_inquiries.next(needed, now))
    {
        if (const auto address = m_addresses.find(peer); address != m_addresses.end())
            m_options.m_add_peer(peer, address->second);
        m_options.m_send(
            peer, cell::config_inquiry{number, m_adoption.newest_version(), m_options.m_address});
    }
}

void config_task::set_members(const std::map<vm_id, cell::member_record>& members)
{
    std::map<vm_id, std::string> addresses;
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (const auto& [vm, member] : members)
    {
        if (vm == m_options.m_vm)
            continue;
        addresses[vm] = member.m_address;
        (member.m_data_centre == m_options.m_data_centre ? near : far).push_back(vm);
    }
    if (addresses == m_addresses)
        return;
    m_addresses = std::move(addresses);
    m_inquiries.set_peers(std::move(near), std::move(far));
}

// A large configuration takes longer to arrive than the interval of heartbeats, and repeating it
// would delay it and the messages behind it further.
void config_task::send_to(const vm_id& peer, std::uint64_t known_version)
{
    if (config() == nullptr || config()->m_version <= known_version)
        return;
    const auto now = monotonic_clock::now();
    auto& last = m_configs_sent[peer];
    if (last.m_version == config()->m_version && now - last.m_at < m_options.m_resend_interval)
        return;
    last = {config()->m_version, now};
    m_options.m_send(peer, cell::config_update{*config(), true});
}

// A build that doesn't know customers leaves them out: its configuration would let every call pass
// until the next version.
void config_task::handle(const vm_id& from, const cell::config_update& message)
{
    if (!message.m_has_customers)
    {
        log_event(log_level::info, "config_ignored",
                  {{"from", from.m_value}, {"version", message.m_config.m_version}});
        return;
    }
    if (m_adoption.offer_from_peer(message.m_config))
        return adopted("peer");
    if (config() == nullptr)
        inquire();
}

void config_task::handle(const vm_id& from, const cell::config_inquiry& message)
{
    const auto now = monotonic_clock::now();
    m_options.m_add_peer(from, message.m_address);
    m_inquiries.asked_by(from, message.m_config_version, now);
    send_to(from, message.m_config_version);
    const auto confirmed_at = m_adoption.confirmed_at();
    m_options.m_send(
        from, cell::config_status{.m_number = message.m_number,
                                  .m_config_version = config() == nullptr ? 0 : config()->m_version,
                                  .m_confirmed_age_ms =
                                      confirmed_at == instant{} ? -1 : to_ms(now - confirmed_at)});
}

void config_task::handle(const vm_id& from, const cell::config_status& message)
{
    const auto now = monotonic_clock::now();
    const auto sent_at = m_inquiries.sent_at(message.m_number, now);
    if (!sent_at)
        return;
    send_to(from, message.m_config_version);
    if (message.m_confirmed_age_ms < 0)
        return;
    // The peer counted the age when it answered, thus after the inquiry was sent. Milliseconds are
    // rounded down.
    const auto confirmed_at =
        *sent_at - std::chrono::milliseconds(message.m_confirmed_age_ms) - 1ms;
    if (m_adoption.confirm_by_peer(message.m_config_version, confirmed_at))
        adopted("peer");
    if (config() != nullptr && m_adoption.confirmed_at() >= confirmed_at &&
        now - confirmed_at <= m_options.m_adoption.m_spread_time)
        m_inquiries.confirmed(from, now);
}

void config_task::adopted(std::string_view source)
{
    const auto& config = *m_adoption.in_force();
    m_keys = cell::customer_keys(config);
    log_event(log_level::info, "config_in_force",
              {{"version", config.m_version},
               {"queues", config.m_queues.size()},
               {"customers", config.m_customers.size()},
               {"source", source}});
    m_metrics.set("dragonflygap_config_version", {"source", source},
                  static_cast<double>(config.m_version));
    // Peers that asked lately don't hear of it from a leader.
    for (const auto& peer : m_inquiries.peers_behind(config.m_version, monotonic_clock::now()))
        send_to(peer, 0);
    m_options.m_on_changed();
}

cell::key_check config_task::check_key(const cell::queue_rules& queue,
                                       std::optional<std::string_view> key) const
{
    auto check = cell::check_key(*config(), m_keys, queue, key,
                                 m_adoption.may_accept_keys(monotonic_clock::now()));
    if (check.m_verdict != cell::key_verdict::accepted)
        m_metrics.count("dragonflygap_caller_refusals_total",
                        {"cause", cell::name_of(check.m_verdict)});
    return check;
}

} // namespace dragonflygap::node
