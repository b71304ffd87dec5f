#include "dragonflygap/history_checker/checker.hpp"

#include "dragonflygap/history_checker/rules.hpp"

namespace dragonflygap::history_checker
{

std::span<const rule> rules()
{
    static constexpr rule all[] = {
        {"worker_capacity", check_worker_capacity},
        {"executor_slots", check_executor_slots},
        {"single_running_task", check_single_running_task},
        {"single_running_request", check_single_running_request},
        {"own_answer", check_own_answer},
        {"answered_once", check_answered_once},
        {"not_run", check_not_run},
        {"at_most_once", check_at_most_once},
        {"leaving_target", check_leaving_target},
        {"graceful_shutdown", check_graceful_shutdown},
        {"config_never_reverts", check_config_never_reverts},
        {"config_in_force", check_config_in_force},
        {"one_owner", check_one_owner},
    };
    return all;
}

std::vector<violation> check(std::span<const entry> history, const checker_options& options)
{
    std::vector<violation> result;
    for (const auto& item : rules())
        for (auto& found : item.m_check(history, options))
        {
            found.m_rule = item.m_name;
            result.push_back(std::move(found));
        }
    return result;
}

} // namespace dragonflygap::history_checker
