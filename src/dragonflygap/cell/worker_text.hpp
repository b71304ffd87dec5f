#pragma once

#include <string>
#include <string_view>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// A task's name in logs: JOB.OCCURRENCE.STEP.INDEX.
inline std::string text_of(const task_key& task)
{
    return task.m_job.m_value + "." + std::to_string(task.m_occurrence) + "." +
           std::to_string(task.m_step) + "." + std::to_string(task.m_index);
}

/// Name of an end in logs.
inline std::string_view name_of(end_kind kind)
{
    constexpr std::string_view names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<int>(kind)];
}

/// Name of a refusal in metrics.
inline std::string_view name_of(start_refusal refusal)
{
    constexpr std::string_view names[] = {"none",     "fenced",    "outdated",
                                          "too_late", "no_room",   "no_ticket",
                                          "invalid",  "unhealthy", "wrong_worker"};
    return names[static_cast<int>(refusal)];
}

inline worker_address address_of(const worker_state& worker)
{
    return {worker.m_info.m_id, worker.m_info.m_address};
}

} // namespace dragonflygap::cell
