#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/request/scheduler.hpp"

namespace dragonflygap::request::test
{

/// Feeds events to a scheduler on a virtual clock and sorts its actions by kind.
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

    void fail(const std::string& id, verdict what, reason why, bool slot_free = true)
    {
        send(request_ended{request_id(id), dragonflygap::fail(what, why, ""), slot_free});
    }

    void pass(duration time)
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
            std::visit([this](const auto& what) { note(what); }, action);
    }

    bool dispatched(const std::string& id) const { return m_dispatched.contains(id); }

    scheduler m_scheduler;
    instant m_now{1000s};
    /// What the newest event brought, by request.
    std::map<std::string, dispatch_request> m_dispatched;
    std::map<std::string, failure> m_refused;
    std::map<std::string, failure> m_failed;
    std::map<std::string, vm_id> m_forwarded;
    std::set<std::string> m_aborted;

private:
    void note(const dispatch_request& what) { m_dispatched[what.m_id.m_value] = what; }
    void note(const refuse_request& what) { m_refused[what.m_id.m_value] = what.m_failure; }
    void note(const fail_request& what) { m_failed[what.m_id.m_value] = what.m_failure; }
    void note(const forward_request& what) { m_forwarded[what.m_id.m_value] = what.m_peer; }
    void note(const abort_request& what) { m_aborted.insert(what.m_id.m_value); }
};

} // namespace dragonflygap::request::test
