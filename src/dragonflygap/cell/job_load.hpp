#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

/// Tasks of a step that aren't done, with the run time expected of each when their job was accepted.
struct step_load
{
    resources m_size; ///< Of one task.
    std::int64_t m_tasks = 0;
    std::int64_t m_task_ms = 0;
};

/// The load of one occurrence of a job, by step.
inline std::vector<step_load> load_of(const job_request& request,
                                      const std::function<std::int64_t(int step)>& expected_ms)
{
    std::vector<step_load> result;
    result.reserve(request.m_steps.size());
    for (int s = 0; s < static_cast<int>(request.m_steps.size()); ++s)
        result.push_back({size_of(request.m_steps[s]), request.m_steps[s].m_count, expected_ms(s)});
    return result;
}

} // namespace dragonflygap::cell
