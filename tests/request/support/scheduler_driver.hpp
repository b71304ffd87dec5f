#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/request/scheduler.hpp"

namespace dragonflygap::request::test
{

/// Sends events to a scheduler on a virtual clock and groups the returned actions by type.
class scheduler_driver
{
public:
    explicit scheduler_driver(scheduler_options options = {}) : m_scheduler(std::move(options)) {}

    void classes(std::vector<config::request_class> classes,
                 std::vector<config::caller_weight> callers = {})
    {
        send(classes_changed{std::move(classes), std::move(callers)});
    }

    void targets(int count, int slots, bool leaving = false)
    {
        targets_changed changed;
        for (int i = 0; i < count; ++i)
            changed.m_targets.push_back({.m_id = target_id("t" + std::to_string(i)),
                                         .m_slots = slots,
                                         .m_leaving = leaving});
        send(changed);
    }

    void submit(const std::string& id, const std::string& name, duration deadline = 10s,
                const std::string& caller = "c", bool idempotent = true, std::uint32_t hops = 0)
    {
        send(request_submitted{{.m_id = request_id(id),
                                .m_caller = caller_id(caller),
                                .m_class = class_id(name),
                                .m_idempotent = idempotent,
                                .m_hops = hops,
                                .m_arrived_at = m_now,
                                .m_deadline = m_now + deadline}});
    }

    void end(const std::string& id) { send(request_ended{request_id(id), {}}); }

    void fail(const std::string& id, verdict result_verdict, reason cause, bool slot_free = true)
    {
        send(request_ended{request_id(id), dragonflygap::fail(result_verdict, cause, ""),
                           slot_free});
    }

    void advance(duration time)
    {
        m_now += time;
        send(scheduler_tick{});
    }

    void send(const scheduler_event& event)
    {
        m_dispatched.clear();
        m_refused.clear();
        m_failed.clear();
        m_forwarded.clear();
        m_aborted.clear();
        for (const auto& action : m_scheduler.handle(event, m_now))
            std::visit([this](const auto& alternative) { record(alternative); }, action);
    }

    bool dispatched(const std::string& id) const { return m_dispatched.contains(id); }

    scheduler m_scheduler;
    instant m_now{1000s};
    /// The actions returned for the latest event, by request id.
    std::map<std::string, dispatch_request> m_dispatched;
    std::map<std::string, failure> m_refused;
    std::map<std::string, failure> m_failed;
    std::map<std::string, vm_id> m_forwarded;
    std::set<std::string> m_aborted;

private:
    void record(const dispatch_request& action) { m_dispatched[action.m_id.m_value] = action; }
    void record(const refuse_request& action) { m_refused[action.m_id.m_value] = action.m_failure; }
    void record(const fail_request& action) { m_failed[action.m_id.m_value] = action.m_failure; }
    void record(const forward_request& action) { m_forwarded[action.m_id.m_value] = action.m_peer; }
    void record(const abort_request& action) { m_aborted.insert(action.m_id.m_value); }
};

} // namespace dragonflygap::request::test
