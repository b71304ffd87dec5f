#include "dragonflygap/observe/history.hpp"

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::history
{

namespace
{

std::function<void(const event& recorded, instant at)>& current_sink()
{
    static std::function<void(const event& recorded, instant at)> sink;
    return sink;
}

struct event_text
{
    std::string_view m_name;
    std::string m_fields;
};

event_text describe(const node_started& e)
{
    return {"node_started", format_fields({{"incarnation", e.m_incarnation}})};
}

event_text describe(const node_draining& /*e*/)
{
    return {"node_draining", {}};
}

event_text describe(const node_stopped& /*e*/)
{
    return {"node_stopped", {}};
}

event_text describe(const config_in_force& e)
{
    return {"config_in_force", format_fields({{"version", e.m_version}})};
}

event_text describe(const lease_changed& e)
{
    return {"lease_changed", format_fields({{"data_centre", e.m_data_centre.m_value},
                                            {"group", e.m_group},
                                            {"epoch", e.m_epoch},
                                            {"held", e.m_held ? "true" : "false"}})};
}

event_text describe(const request_accepted& e)
{
    return {"request_accepted", format_fields({{"request", e.m_request.m_value},
                                               {"class", e.m_class.m_value},
                                               {"caller", e.m_caller.m_value},
                                               {"key", e.m_key.m_value},
                                               {"idempotent", e.m_idempotent ? "true" : "false"},
                                               {"hops", e.m_hops}})};
}

event_text describe(const request_dispatched& e)
{
    return {"request_dispatched",
            format_fields({{"request", e.m_request.m_value}, {"target", e.m_target.m_value}})};
}

event_text describe(const request_forwarded& e)
{
    return {"request_forwarded",
            format_fields({{"request", e.m_request.m_value}, {"peer", e.m_peer.m_value}})};
}

event_text describe(const request_answered& e)
{
    return {"request_answered", format_fields({{"request", e.m_request.m_value}})};
}

event_text describe(const request_refused& e)
{
    return {"request_refused", format_fields({{"request", e.m_request.m_value},
                                              {"verdict", to_string(e.m_verdict)},
                                              {"reason", to_string(e.m_reason)}})};
}

event_text describe(const task_start_sent& e)
{
    return {"task_start_sent", format_fields({{"task", e.m_task.m_value},
                                              {"worker", e.m_worker.m_value},
                                              {"epoch", e.m_epoch}})};
}

event_text describe(const task_started& e)
{
    return {"task_started",
            format_fields({{"task", e.m_task.m_value}, {"worker", e.m_worker.m_value}})};
}

event_text describe(const task_start_failed& e)
{
    return {"task_start_failed", format_fields({{"task", e.m_task.m_value},
                                                {"worker", e.m_worker.m_value},
                                                {"verdict", to_string(e.m_verdict)},
                                                {"reason", to_string(e.m_reason)}})};
}

event_text describe(const task_ended& e)
{
    return {"task_ended", format_fields({{"task", e.m_task.m_value},
                                         {"worker", e.m_worker.m_value},
                                         {"state", e.m_state}})};
}

event_text describe(const execution_started& e)
{
    return {"execution_started", format_fields({{"request", e.m_request.m_value},
                                                {"token", e.m_token},
                                                {"target", e.m_target.m_value},
                                                {"worker", e.m_worker.m_value},
                                                {"slots", e.m_slots},
                                                {"run_us", e.m_run_time.count()}})};
}

event_text describe(const worker_task_started& e)
{
    return {"worker_task_started",
            format_fields({{"task", e.m_task.m_value},
                           {"worker", e.m_worker.m_value},
                           {"millicores", e.m_size.m_millicores},
                           {"memory_mb", e.m_size.m_memory_mb},
                           {"accelerators", e.m_size.m_accelerators},
                           {"capacity_millicores", e.m_capacity.m_millicores},
                           {"capacity_memory_mb", e.m_capacity.m_memory_mb},
                           {"capacity_accelerators", e.m_capacity.m_accelerators}})};
}

event_text describe(const worker_task_ended& e)
{
    return {"worker_task_ended",
            format_fields({{"task", e.m_task.m_value}, {"worker", e.m_worker.m_value}})};
}

event_text describe(const worker_leaving& e)
{
    return {"worker_leaving", format_fields({{"worker", e.m_worker.m_value}})};
}

event_text describe(const config_committed& e)
{
    return {"config_committed", format_fields({{"version", e.m_version}})};
}

event_text describe(const caller_answered& e)
{
    return {"caller_answered",
            format_fields(
                {{"token", e.m_token}, {"echo", e.m_echo}, {"verdict", to_string(e.m_verdict)}})};
}

event_text describe(const fault_injected& e)
{
    return {"fault_injected",
            format_fields({{"target_vm", e.m_target_vm.m_value}, {"kind", e.m_kind}})};
}

event_text describe(const fault_healed& e)
{
    return {"fault_healed",
            format_fields({{"target_vm", e.m_target_vm.m_value}, {"kind", e.m_kind}})};
}

std::string timestamped_fields(const event_text& text, instant at)
{
    return format_fields({{"at_us", at.time_since_epoch().count()}}) + text.m_fields;
}

event_text describe_any(const event& recorded)
{
    return std::visit([](const auto& e) { return describe(e); }, recorded);
}

} // namespace

std::string format(std::string_view vm, const event& recorded, instant at)
{
    const auto text = describe_any(recorded);
    return format_fields({{"vm", vm}, {"event", text.m_name}}).substr(1) +
           timestamped_fields(text, at);
}

void set_sink(std::function<void(const event& recorded, instant at)> sink)
{
    current_sink() = std::move(sink);
}

void record(const event& recorded)
{
    if (const auto& sink = current_sink())
        return sink(recorded, monotonic_clock::now());
    const auto text = describe_any(recorded);
    log_line(log_level::info, text.m_name, timestamped_fields(text, monotonic_clock::now()));
}

} // namespace dragonflygap::history
