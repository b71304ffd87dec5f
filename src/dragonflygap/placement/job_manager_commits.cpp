#include <algorithm>
#include <utility>

#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

void job_manager::settle(const commit_queue::settled& done, instant now, actions& out)
{
    auto node = m_pending.extract(done.m_entry);
    if (node.empty())
        return;
    auto& what = node.mapped();
    if (what.m_submission != 0)
        out.emplace_back(submission_answered{
            what.m_submission, done.m_committed ? outcome<job_id>(what.m_job)
                                                : fail(verdict::not_run, reason::conflict,
                                                       "a job of this id is there already")});
    if (done.m_committed)
        for (const auto& [worker, task] : what.m_ended)
            m_workers.acknowledge(worker, task);
    if (auto* source = find_part(what.m_source))
        settle_source(*source, what, done, now, out);
    if (!done.m_committed)
        return;
    announce_parts announced;
    for (auto& part : what.m_created)
    {
        const auto home = part.m_home;
        if (home.m_data_centre != m_options.m_data_centre || !m_groups.contains(home.m_group))
            announced.m_homes.push_back(home);
        else if (!created(std::move(part), same_holding(what, home.m_group), done.m_rows))
            scan(home.m_group, now, out);
    }
    if (!announced.m_homes.empty())
        out.emplace_back(std::move(announced));
}

void job_manager::settle_source(live_part& source, const pending& what,
                                const commit_queue::settled& done, instant now, actions& out)
{
    const auto group = source.m_part.m_home.m_group;
    // The group was lost and won again since: its rows were read anew and tell all.
    if (!same_holding(what, group))
        return scan(group, now, out);
    source.m_in_commit = false;
    if (!done.m_committed)
    {
        source.m_dirty = true;
        source.m_outdated = true;
        source.m_ended.insert(source.m_ended.end(), what.m_ended.begin(), what.m_ended.end());
        undo_move(source);
        return scan(group, now, out);
    }
    if (what.m_deletes_source)
    {
        m_parts.erase(what.m_source);
        return;
    }
    std::erase_if(source.m_part.m_job.m_tasks,
                  [](const job_task& task) { return task.m_state == job_task_state::moving; });
    if (has_ended(source.m_part) && source.m_ended_at == instant{})
        source.m_ended_at = now;
    source.m_claimed = true;
    source.m_saved_writer = m_options.m_writer;
    source.m_saved_revision = what.m_revision;
    const auto row = std::ranges::find(done.m_rows, key_of(source.m_part), &platform::row::m_key);
    if (row != done.m_rows.end())
        source.m_version = row->m_version;
    for (const auto& task : source.m_part.m_job.m_tasks)
        m_part_of_task[{source.m_part.m_job.m_spec.m_id, task.m_index}] = what.m_source;
}

bool job_manager::same_holding(const pending& what, ownership::group_index group) const
{
    const auto then = what.m_holdings.find(group);
    const auto now = m_groups.find(group);
    return then != what.m_holdings.end() && now != m_groups.end() &&
           then->second == now->second.m_generation;
}

std::map<ownership::group_index, std::uint64_t> job_manager::holdings() const
{
    std::map<ownership::group_index, std::uint64_t> result;
    for (const auto& [group, state] : m_groups)
        result[group] = state.m_generation;
    return result;
}

bool job_manager::created(job_part part, bool same_holding, const std::vector<platform::row>& rows)
{
    const auto id = part.m_id;
    const auto row = std::ranges::find(rows, key_of(part), &platform::row::m_key);
    const auto& spec = part.m_job.m_spec;
    const bool known = same_holding && row != rows.end() && row->m_value == encode(part);
    for (auto& task : part.m_job.m_tasks)
    {
        auto next = task;
        ++next.m_attempt;
        const auto name = name_of(spec.m_id, next);
        const auto* worker = m_workers.find(task.m_worker);
        if (known && worker != nullptr && worker->m_tasks.contains(name))
            continue;
        m_workers.release(task.m_worker, name);
        task.m_worker = {};
    }
    // Not as it was written, or written while the group was another's: a scan tells.
    if (!known || m_parts.contains(id))
        return false;
    for (const auto& task : part.m_job.m_tasks)
        m_part_of_task[{spec.m_id, task.m_index}] = id;
    auto& live = m_parts[id];
    live = {.m_part = std::move(part), .m_version = row->m_version, .m_claimed = true};
    live.m_saved_writer = live.m_part.m_writer;
    live.m_saved_revision = live.m_part.m_revision;
    return true;
}

void job_manager::undo_move(live_part& source)
{
    for (auto& task : source.m_part.m_job.m_tasks)
    {
        if (task.m_state != job_task_state::moving)
            continue;
        auto next = task;
        ++next.m_attempt;
        m_workers.release(task.m_worker, name_of(source.m_part.m_job.m_spec.m_id, next));
        task.m_state = job_task_state::waiting;
        task.m_worker = {};
    }
}

void job_manager::save_dirty(instant now)
{
    for (auto& [id, live] : m_parts)
    {
        if (!live.m_dirty || live.m_in_commit || live.m_outdated)
            continue;
        live.m_dirty = false;
        live.m_in_commit = true;
        if (has_ended(live.m_part) && live.m_ended_at == instant{})
            live.m_ended_at = now;
        const auto entry = m_commits.add({{.m_key = key_of(live.m_part),
                                           .m_expected_version = live.m_version,
                                           .m_value = next_value(live.m_part)}});
        m_pending[entry] = {.m_holdings = holdings(),
                            .m_revision = live.m_part.m_revision,
                            .m_source = id,
                            .m_ended = std::exchange(live.m_ended, {}),
                            .m_queued = now};
    }
}

void job_manager::move_tasks(live_part& source,
                             const std::map<part_home, std::vector<int>>& indexes, instant now)
{
    pending what{.m_holdings = holdings(), .m_source = source.m_part.m_id, .m_queued = now};
    std::vector<platform::row_write> writes;
    for (const auto& [home, moved] : indexes)
    {
        auto part = new_part(source.m_part.m_job.m_spec, home);
        for (const auto& task : source.m_part.m_job.m_tasks)
        {
            if (std::ranges::find(moved, task.m_index) == moved.end())
                continue;
            part.m_job.m_tasks.push_back(task);
            part.m_job.m_tasks.back().m_state = job_task_state::waiting;
        }
        auto value = next_value(part);
        writes.push_back({.m_key = key_of(part), .m_value = std::move(value)});
        what.m_created.push_back(std::move(part));
    }
    auto rest = source.m_part;
    std::erase_if(rest.m_job.m_tasks,
                  [](const job_task& task) { return task.m_state == job_task_state::moving; });
    // An emptied part stays for a while: its creation may be on its way a second time.
    writes.push_back({.m_key = key_of(source.m_part),
                      .m_expected_version = source.m_version,
                      .m_value = next_value(rest)});
    what.m_revision = rest.m_revision;
    what.m_ended = std::exchange(source.m_ended, {});
    source.m_in_commit = true;
    source.m_dirty = false;
    m_pending[m_commits.add(std::move(writes))] = std::move(what);
}

void job_manager::trim(instant now)
{
    std::map<ownership::group_index, std::vector<std::pair<instant, part_id>>> ended;
    for (const auto& [id, live] : m_parts)
        if (has_ended(live.m_part) && live.m_claimed && !live.m_in_commit && !live.m_dirty &&
            now - live.m_ended_at >= m_options.m_keep_ended)
            ended[live.m_part.m_home.m_group].emplace_back(live.m_ended_at, id);
    bool trimmed = false;
    for (auto& [group, parts] : ended)
    {
        std::ranges::sort(parts);
        const auto keep = std::min(parts.size(), m_options.m_ended_per_group);
        for (std::size_t i = 0; i < parts.size(); ++i)
        {
            auto& live = m_parts.at(parts[i].second);
            if (i + keep >= parts.size() && !live.m_part.m_job.m_tasks.empty())
                continue;
            // One at a time, so that a wave of ended jobs isn't followed by a wave of writes.
            if (std::exchange(trimmed, true))
                return;
            live.m_in_commit = true;
            const auto entry = m_commits.add(
                {{.m_key = key_of(live.m_part), .m_expected_version = live.m_version}});
            m_pending[entry] = {.m_holdings = holdings(),
                                .m_source = parts[i].second,
                                .m_deletes_source = true,
                                .m_queued = now};
        }
    }
}

} // namespace dragonflygap::placement
