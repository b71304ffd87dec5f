#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::emulator
{

/// A network partition between two parties; "*" matches any, "platform" is the platform.
struct network_cut
{
    std::string m_vm;
    std::string m_other;
    bool m_replies_only = false; ///< Requests take effect, only their answers are lost.
};

/// The faults that are injected now. Each use of a count decrements it.
struct faults
{
    bool m_table_down = false;
    duration m_table_delay{};
    int m_lose_replies = 0;   ///< Next commits that take effect without an answer.
    int m_double_commits = 0; ///< Next commits applied twice; the second result is the answer.
    int m_late_replies = 0;   ///< Next commits whose answers are delayed by m_late_by.
    duration m_late_by{};
    duration m_vm_list_lag{};
    std::set<worker_id> m_leaving;
    std::set<worker_id> m_failing; ///< Tasks fail when they start, requests get status 500.
    std::vector<network_cut> m_cuts;
    duration m_executor_delay{};    ///< Added between the end of a request and its answer.
    int m_cut_answers = 0;          ///< Next executor answers that are truncated.
    int m_large_answers = 0;        ///< Next executor answers above any size limit.
    duration m_stop_delay{};        ///< Time from a stop request to the end of the task.
    bool m_enforce_capacity = true; ///< False: workers and executors accept beyond capacity.

    /// The cut between an entry VM and the platform or a worker; null if there is none.
    const network_cut* find_cut(std::string_view vm, std::string_view other) const;
};

/// Updates the faults that the JSON object contains; the others keep their values.
void merge_faults(const nlohmann::json& from, faults& to);

/// Workers under the key silence_connections, whose open connections are to get no answers.
std::set<worker_id> connections_to_silence(const nlohmann::json& from);

} // namespace dragonflygap::emulator
