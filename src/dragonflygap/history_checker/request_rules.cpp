#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "dragonflygap/history_checker/rules.hpp"

namespace dragonflygap::history_checker
{

namespace
{

bool from_caller(const entry& item)
{
    return item.m_event == "request_accepted" && item.number("hops") == 0;
}

bool ends_request(const entry& item)
{
    return item.m_event == "request_answered" || item.m_event == "request_refused";
}

instant end_of(const entry& execution)
{
    return execution.m_at + duration(execution.number("run_us"));
}

/// The entry VM that accepted each request from its caller.
std::map<std::string, std::string> origins(entries history)
{
    std::map<std::string, std::string> result;
    for (const auto& item : history)
        if (from_caller(item))
            result[item.text("request")] = item.m_vm;
    return result;
}

/// All values of a key in the executions.
std::set<std::string> executed_values(entries history, std::string_view key)
{
    std::set<std::string> result;
    for (const auto& item : history)
        if (item.m_event == "execution_started" && !item.text(key).empty())
            result.insert(item.text(key));
    return result;
}

/// Identifies all submissions of a non-idempotent request; empty if it is idempotent.
std::string deduplication_key(const entry& accepted)
{
    if (accepted.text("idempotent") != "false")
        return {};
    const auto& key = accepted.text("key");
    return key.empty() ? "request " + accepted.text("request")
                       : "key " + key + " of " + accepted.text("caller");
}

} // namespace

violations check_executor_slots(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::multiset<instant>> end_times;
    for (const auto& item : history)
    {
        if (item.m_event != "execution_started")
            continue;
        auto& running = end_times[item.text("target")];
        running.erase(running.begin(), running.upper_bound(item.m_at));
        running.insert(end_of(item));
        if (static_cast<std::int64_t>(running.size()) > item.number("slots"))
            result.push_back(make_violation(
                item, item.text("target") + " runs " + std::to_string(running.size()) +
                          " requests in " + item.text("slots") + " slots"));
    }
    return result;
}

violations check_single_running_request(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, instant> end_times;
    for (const auto& item : history)
    {
        if (item.m_event != "execution_started" || item.text("request").empty())
            continue;
        auto& end = end_times[item.text("request")];
        if (end > item.m_at)
            result.push_back(
                make_violation(item, item.text("request") + " is already running elsewhere"));
        end = std::max(end, end_of(item));
    }
    return result;
}

violations check_own_answer(entries history, const checker_options& /*options*/)
{
    violations result;
    for (const auto& item : history)
        if (item.m_event == "caller_answered" && item.text("verdict") == "ran" &&
            item.text("echo") != item.text("token"))
            result.push_back(make_violation(item, "the caller of " + item.text("token") +
                                                      " received the answer to '" +
                                                      item.text("echo") + "'"));
    return result;
}

violations check_answered_once(entries history, const checker_options& /*options*/)
{
    violations result;
    const auto origin = origins(history);
    std::set<std::string> ended;
    for (const auto& item : history)
    {
        const auto found = origin.find(item.text("request"));
        if (!ends_request(item) || found == origin.end() || found->second != item.m_vm)
            continue;
        if (!ended.insert(item.text("request")).second)
            result.push_back(make_violation(item, item.text("request") + " was answered twice"));
    }
    return result;
}

violations check_not_run(entries history, const checker_options& /*options*/)
{
    violations result;
    const auto origin = origins(history);
    const auto requests = executed_values(history, "request");
    const auto tokens = executed_values(history, "token");
    for (const auto& item : history)
    {
        if (item.text("verdict") != "not_run")
            continue;
        if (item.m_event == "caller_answered" && tokens.contains(item.text("token")))
            result.push_back(make_violation(item, "token " + item.text("token") + " ran"));
        // A peer's refusal isn't final: the origin may still dispatch the request.
        const auto found = origin.find(item.text("request"));
        if (item.m_event == "request_refused" && found != origin.end() &&
            found->second == item.m_vm && requests.contains(item.text("request")))
            result.push_back(make_violation(item, item.text("request") + " ran"));
    }
    return result;
}

violations check_at_most_once(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::string> keys;
    for (const auto& item : history)
        if (item.m_event == "request_accepted")
            keys[item.text("request")] = deduplication_key(item);
    std::map<std::string, int> runs;
    for (const auto& item : history)
    {
        const auto known_key = keys.find(item.text("request"));
        if (item.m_event != "execution_started" || known_key == keys.end() ||
            known_key->second.empty())
            continue;
        if (++runs[known_key->second] > 1)
            result.push_back(
                make_violation(item, known_key->second + " ran again as " + item.text("request")));
    }
    return result;
}

violations check_leaving_target(entries history, const checker_options& options)
{
    violations result;
    std::map<std::string, instant> leaving;
    for (const auto& item : history)
    {
        const auto& worker = item.text("worker");
        if (item.m_event == "worker_leaving")
            leaving.try_emplace(worker, item.m_at);
        if (item.m_event != "execution_started" && item.m_event != "worker_task_started")
            continue;
        const auto found = leaving.find(worker);
        if (found != leaving.end() && item.m_at > found->second + options.m_leaving_grace_period)
            result.push_back(make_violation(item, worker + " was given " + item.text("request") +
                                                      item.text("task") + " while leaving"));
    }
    return result;
}

violations check_graceful_shutdown(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::map<std::string, bool>> open; // per VM and request: dispatched
    std::set<std::string> draining;
    for (const auto& item : history)
    {
        auto& requests = open[item.m_vm];
        const auto& request = item.text("request");
        if (item.m_event == "node_started")
        {
            requests.clear();
            draining.erase(item.m_vm);
        }
        else if (item.m_event == "node_draining")
            draining.insert(item.m_vm);
        else if (item.m_event == "request_accepted")
            requests[request] = false;
        else if (item.m_event == "request_dispatched" && requests.contains(request))
            requests[request] = true;
        else if (ends_request(item))
        {
            if (draining.contains(item.m_vm) && item.text("reason") == "draining" &&
                requests[request])
                result.push_back(make_violation(item, request + " was aborted while it ran"));
            requests.erase(request);
        }
        else if (item.m_event == "node_stopped" && draining.contains(item.m_vm))
            for (const auto& [id, dispatched] : requests)
                result.push_back(
                    make_violation(item, item.m_vm + " stopped without an answer to " + id));
    }
    return result;
}

} // namespace dragonflygap::history_checker
