#include <algorithm>
#include <utility>

#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

void job_manager::complete(const commit_queue::completion& done, instant now, actions& out)
{
    auto node = m_pending.extract(done.m_entry);
    if (node.empty())
        return;
    auto& commit = node.mapped();
    if (commit.m_submission != 0)
        out.emplace_back(submission_answered{
            commit.m_submission, done.m_committed ? outcome<job_id>(commit.m_job)
                                                  : fail(verdict::not_run, reason::conflict,
                                                         "a job with this id already exists")});
    if (done.m_committed)
        for (const auto& [worker, task] : commit.m_ended)
            m_workers.acknowledge(worker, task);
    if (auto* source = find_part(commit.m_source))
        complete_source(*source, commit, done, now, out);
    if (!done.m_committed)
        return;
    announce_parts announced;
    for (auto& part : commit.m_created)
    {
        const auto home = part.m_home;
        if (home.m_data_centre != m_options.m_data_centre || !m_groups.contains(home.m_group))
            announced.m_homes.push_back(home);
        else if (!add_created(std::move(part), same_generation(commit, home.m_group), done.m_rows))
            scan(home.m_group, now, out);
    }
    if (!announced.m_homes.empty())
        out.emplace_back(std::move(announced));
}

void job_manager::complete_source(live_part& source, const pending_commit& commit,
                                  const commit_queue::completion& done, instant now, actions& out)
{
    const auto group = source.m_part.m_home.m_group;
    // The group was lost since the commit was queued: rescan its rows.
    if (!same_generation(commit, group))
        return scan(group, now, out);
    source.m_in_commit = false;
    if (!done.m_committed)
    {
        source.m_dirty = true;
        source.m_outdated = true;
        source.m_ended.insert(source.m_ended.end(), commit.m_ended.begin(), commit.m_ended.end());
        undo_move(source);
        return scan(group, now, out);
    }
    if (commit.m_deletes_source)
    {
        m_parts.erase(commit.m_source);
        return;
    }
    std::erase_if(source.m_part.m_job.m_tasks,
                  [](const job_task& task) { return task.m_state == job_task_state::moving; });
    if (has_ended(source.m_part) && source.m_ended_at == instant{})
        source.m_ended_at = now;
    source.m_claimed = true;
    source.m_saved_writer = m_options.m_writer;
    source.m_saved_revision = commit.m_revision;
    const auto row = std::ranges::find(done.m_rows, key_of(source.m_part), &platform::row::m_key);
    if (row != done.m_rows.end())
        source.m_version = row->m_version;
    for (const auto& task : source.m_part.m_job.m_tasks)
        m_part_of_task[{source.m_part.m_job.m_spec.m_id, task.m_index}] = commit.m_source;
}

bool job_manager::same_generation(const pending_commit& commit, ownership::group_index group) const
{
    const auto queued_generation = commit.m_generations.find(group);
    const auto now = m_groups.find(group);
    return queued_generation != commit.m_generations.end() && now != m_groups.end() &&
           queued_generation->second == now->second.m_generation;
}

std::map<ownership::group_index, std::uint64_t> job_manager::generations() const
{
    std::map<ownership::group_index, std::uint64_t> result;
    for (const auto& [group, state] : m_groups)
        result[group] = state.m_generation;
    return result;
}

bool job_manager::add_created(job_part part, bool same_generation,
                              const std::vector<platform::row>& rows)
{
    const auto id = part.m_id;
    const auto row = std::ranges::find(rows, key_of(part), &platform::row::m_key);
    const auto& spec = part.m_job.m_spec;
    const bool known = same_generation && row != rows.end() && row->m_value == encode(part);
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
    // The row differs from what was written, or the group was lost in between: a scan is needed.
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
                                           .m_value = encode_next_revision(live.m_part)}});
        m_pending[entry] = {.m_generations = generations(),
                            .m_revision = live.m_part.m_revision,
                            .m_source = id,
                            .m_ended = std::exchange(live.m_ended, {}),
                            .m_queued_at = now};
    }
}

void job_manager::move_tasks(live_part& source,
                             const std::map<part_home, std::vector<int>>& indexes, instant now)
{
    pending_commit commit{
        .m_generations = generations(), .m_source = source.m_part.m_id, .m_queued_at = now};
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
        auto value = encode_next_revision(part);
        writes.push_back({.m_key = key_of(part), .m_value = std::move(value)});
        commit.m_created.push_back(std::move(part));
    }
    auto rest = source.m_part;
    std::erase_if(rest.m_job.m_tasks,
                  [](const job_task& task) { return task.m_state == job_task_state::moving; });
    // An empty part is kept for a while, as a duplicate of its creation may still be in flight.
    writes.push_back({.m_key = key_of(source.m_part),
                      .m_expected_version = source.m_version,
                      .m_value = encode_next_revision(rest)});
    commit.m_revision = rest.m_revision;
    commit.m_ended = std::exchange(source.m_ended, {});
    source.m_in_commit = true;
    source.m_dirty = false;
    m_pending[m_commits.add(std::move(writes))] = std::move(commit);
}

void job_manager::delete_ended_parts(instant now)
{
    std::map<ownership::group_index, std::vector<std::pair<instant, part_id>>> ended;
    for (const auto& [id, live] : m_parts)
        if (has_ended(live.m_part) && live.m_claimed && !live.m_in_commit && !live.m_dirty &&
            now - live.m_ended_at >= m_options.m_ended_retention)
            ended[live.m_part.m_home.m_group].emplace_back(live.m_ended_at, id);
    bool deleting = false;
    for (auto& [group, parts] : ended)
    {
        std::ranges::sort(parts);
        const auto keep = std::min(parts.size(), m_options.m_max_ended_per_group);
        for (std::size_t i = 0; i < parts.size(); ++i)
        {
            auto& live = m_parts.at(parts[i].second);
            if (i + keep >= parts.size() && !live.m_part.m_job.m_tasks.empty())
                continue;
            // One row at a time, so that many jobs ending together don't cause a burst of writes.
            if (std::exchange(deleting, true))
                return;
            live.m_in_commit = true;
            const auto entry = m_commits.add(
                {{.m_key = key_of(live.m_part), .m_expected_version = live.m_version}});
            m_pending[entry] = {.m_generations = generations(),
                                .m_source = parts[i].second,
                                .m_deletes_source = true,
                                .m_queued_at = now};
        }
    }
}

} // namespace dragonflygap::placement
