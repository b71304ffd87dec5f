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

/// Two parties that can't reach each other; "*" stands for any, "platform" for the platform.
struct cut
{
    std::string m_vm;
    std::string m_other;
    bool m_replies_only = false; ///< Requests arrive and take effect, their answers are lost.
};

/// Faults that an operator of the stand-in has switched on. Counts run down with each use.
struct faults
{
    bool m_table_down = false;
    duration m_table_delay{};
    int m_lose_replies = 0;   ///< Commits that take effect without an answer.
    int m_double_commits = 0; ///< Commits applied twice; the second application is answered.
    int m_late_replies = 0;   ///< Commits answered only after m_late_by.
    duration m_late_by{};
    duration m_vm_list_lag{};
    std::set<worker_id> m_leaving;
    std::set<worker_id> m_failing; ///< Tasks fail as they start, requests are answered with 500.
    std::vector<cut> m_cuts;
    duration m_executor_delay{};    ///< Time between the end of a request and its answer.
    int m_cut_answers = 0;          ///< Answers of executors that end in the middle.
    int m_large_answers = 0;        ///< Answers of executors above any allowed size.
    duration m_stop_delay{};        ///< Time that a stopped task needs to end.
    bool m_enforce_capacity = true; ///< False: workers and executors take more than they can hold.

    /// Whether a call from an entry VM to the platform or a worker is cut off.
    const cut* find_cut(std::string_view vm, std::string_view other) const;
};

/// Takes over the members that the JSON object names; the others stay as they are.
void merge_faults(const nlohmann::json& from, faults& to);

/// Workers whose open connections are to go silent, by the key silence_connections.
std::set<worker_id> connections_to_silence(const nlohmann::json& from);

} // namespace dragonflygap::emulator
