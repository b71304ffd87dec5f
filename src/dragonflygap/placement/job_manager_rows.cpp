#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

part_home job_manager::home_of(ownership::group_index group) const
{
    return {m_options.m_data_centre, group};
}

job_manager::live_part* job_manager::find_part(const part_id& id)
{
    const auto found = m_parts.find(id);
    return found == m_parts.end() ? nullptr : &found->second;
}

job_manager::live_part* job_manager::find_task(const job_id& job, int index, job_task*& task)
{
    const auto id = m_part_of_task.find({job, index});
    auto* part = id == m_part_of_task.end() ? nullptr : find_part(id->second);
    if (part == nullptr)
        return nullptr;
    const auto found = std::ranges::find(part->m_part.m_job.m_tasks, index, &job_task::m_index);
    if (found == part->m_part.m_job.m_tasks.end())
        return nullptr;
    task = &*found;
    return part;
}

bool job_manager::ready(const live_part& part) const
{
    const auto group = m_groups.find(part.m_part.m_home.m_group);
    return part.m_claimed && !part.m_adopted && group != m_groups.end();
}

std::string job_manager::encode_next_revision(job_part& part)
{
    part.m_writer = m_options.m_writer;
    part.m_revision = ++m_last_revision;
    return encode(part);
}

job_part job_manager::new_part(const job_spec& spec, const part_home& home)
{
    job_part part{.m_home = home, .m_job = {.m_spec = spec}};
    const auto text = m_options.m_writer + "/" + std::to_string(++m_last_revision);
    part.m_id =
        part_id(spec.m_id.m_value + "~" + std::to_string(XXH64(text.data(), text.size(), 0)));
    return part;
}

void job_manager::scan(ownership::group_index group, instant now, actions& out)
{
    auto& state = m_groups[group];
    if (std::exchange(state.m_scanning, true) &&
        now - state.m_last_scan_at < m_options.m_scan_timeout)
    {
        state.m_scan_again = true;
        return;
    }
    state.m_last_scan_at = now;
    out.emplace_back(scan_parts{home_of(group), state.m_generation});
}

void job_manager::on(const parts_written& event, instant now, actions& out)
{
    for (const auto& home : event.m_homes)
        if (home.m_data_centre == m_options.m_data_centre && m_groups.contains(home.m_group))
            scan(home.m_group, now, out);
}

void job_manager::on(const parts_scanned& event, instant now, actions& out)
{
    const auto found = m_groups.find(event.m_group);
    if (found == m_groups.end() || found->second.m_generation != event.m_generation)
        return;
    auto& group = found->second;
    group.m_scanning = false;
    if (!event.m_rows)
    {
        // Retry after a pause, sooner for groups that were never loaded.
        if (!group.m_loaded)
            group.m_last_scan_at =
                now - m_options.m_rescan_interval + m_options.m_capacity_request_interval;
        return;
    }
    std::set<part_id> present;
    for (const auto& row : *event.m_rows)
    {
        auto part = decode_part(row);
        if (!part)
            continue;
        present.insert(part->m_id);
        apply_row(std::move(*part), row.m_version, now);
    }
    std::erase_if(m_parts,
                  [&](const auto& entry)
                  {
                      const auto& live = entry.second;
                      return live.m_part.m_home.m_group == event.m_group &&
                             (!live.m_claimed || live.m_outdated) && !live.m_in_commit &&
                             !present.contains(entry.first);
                  });
    if (!std::exchange(group.m_loaded, true))
        m_workers.expect_reports(event.m_group);
    if (std::exchange(group.m_scan_again, false))
        scan(event.m_group, now, out);
}

void job_manager::apply_row(job_part part, std::uint64_t version, instant now)
{
    auto* live = find_part(part.m_id);
    if (live == nullptr)
        return add_row(std::move(part), version, now);
    if (live->m_in_commit)
        return;
    live->m_outdated = false;
    if (version <= live->m_version)
        return;
    const bool own = live->m_claimed && live->m_saved_writer == part.m_writer &&
                     live->m_saved_revision == part.m_revision;
    if (!own)
    {
        // Another owner wrote the row: discard the local state.
        m_parts.erase(part.m_id);
        return add_row(std::move(part), version, now);
    }
    // The only change that others make to an owner's part is to cancel it.
    live->m_version = version;
    live->m_part.m_cancelled = live->m_part.m_cancelled || part.m_cancelled;
    live->m_dirty = true;
}

void job_manager::add_row(job_part part, std::uint64_t version, instant now)
{
    const auto& spec = part.m_job.m_spec;
    const auto epoch = m_groups[part.m_home.m_group].m_epoch;
    for (auto& task : part.m_job.m_tasks)
    {
        m_part_of_task.try_emplace({spec.m_id, task.m_index}, part.m_id);
        task.m_state_since = now;
        if (task.m_state == job_task_state::waiting)
            task.m_worker = {};
        if (task.m_worker.empty() || has_ended(task.m_state))
            continue;
        m_workers.add_unlisted(task.m_worker, epoch, now);
        m_workers.allocate(task.m_worker, name_of(spec.m_id, task), spec, false);
    }
    const bool ended = has_ended(part);
    const auto id = part.m_id;
    // Writing the row makes transactions of the previous owner that are still in flight fail.
    auto& live = m_parts[id];
    live = {.m_part = std::move(part),
            .m_version = version,
            .m_claimed = ended,
            .m_adopted = true,
            .m_dirty = !ended,
            .m_ended_at = ended ? now : instant{}};
    live.m_saved_writer = live.m_part.m_writer;
    live.m_saved_revision = live.m_part.m_revision;
}

void job_manager::on(const job_submitted& event, instant now, actions& out)
{
    if (auto rejection = rejection_reason(event.m_spec))
    {
        out.emplace_back(submission_answered{
            event.m_submission, fail(verdict::not_run, reason::never_fits, std::move(*rejection))});
        return;
    }
    // Prefer a group whose workers can start the tasks without another transaction; otherwise
    // choose one by hash and leave the job to its owner.
    const auto offers = capacity_for(event.m_spec, event.m_spec.m_count);
    const auto best = std::ranges::max_element(offers, {}, &capacity_offer::m_count);
    const auto& id = event.m_spec.m_id.m_value;
    const auto hashed = static_cast<ownership::group_index>(XXH64(id.data(), id.size(), 0) %
                                                            ownership::groups_per_data_centre);
    auto part = new_part(event.m_spec, best == offers.end() ? home_of(hashed) : best->m_home);
    part.m_job = make_job(event.m_spec);
    const auto key = key_of(part);
    const auto entry = m_commits.add({{.m_key = key, .m_value = encode_next_revision(part)}});
    m_pending[entry] = {.m_created = {std::move(part)},
                        .m_generations = generations(),
                        .m_submission = event.m_submission,
                        .m_job = event.m_spec.m_id,
                        .m_queued_at = now};
}

// Retried after its part was moved and its row deleted, a creation would create the part again.
void job_manager::expire_creations(instant now)
{
    std::erase_if(m_pending,
                  [&](const auto& item)
                  {
                      const auto& commit = item.second;
                      return commit.m_source.empty() && commit.m_submission == 0 &&
                             now - commit.m_queued_at >= m_options.m_creation_timeout &&
                             m_commits.abandon(item.first);
                  });
}

void job_manager::expire_submissions(instant now, actions& out)
{
    for (auto it = m_pending.begin(); it != m_pending.end();)
    {
        auto& commit = it->second;
        if (commit.m_submission == 0 || now - commit.m_queued_at < m_options.m_submission_timeout)
        {
            ++it;
            continue;
        }
        const bool withdrawn = m_commits.withdraw(it->first);
        out.emplace_back(submission_answered{
            std::exchange(commit.m_submission, 0),
            fail(withdrawn ? verdict::not_run : verdict::may_have_run, reason::platform_unavailable,
                 withdrawn
                     ? "the table could not be reached"
                     : "the table did not confirm whether it stored " + commit.m_job.m_value)});
        it = withdrawn ? m_pending.erase(it) : std::next(it);
    }
}

void job_manager::on(const parts_committed& event, instant now, actions& out)
{
    for (const auto& done : m_commits.handle_result(event.m_call, event.m_result, now))
        complete(done, now, out);
}

void job_manager::on(const capacity_offered& event, instant now, actions& /*out*/)
{
    auto* part = find_part(event.m_part);
    if (part == nullptr || !ready(*part) || part->m_in_commit || part->m_outdated ||
        part->m_part.m_cancelled)
        return;
    std::vector<job_task*> waiting;
    for (auto& task : part->m_part.m_job.m_tasks)
        if (task.m_state == job_task_state::waiting && task.m_worker.empty())
            waiting.push_back(&task);
    int capacity = 0;
    for (const auto& offer : event.m_offers)
        capacity += offer.m_count;
    if (part->m_part.m_job.m_spec.m_kind == job_kind::gang &&
        capacity < static_cast<int>(waiting.size()))
        return;
    // A gang moves as a whole, so that its new owner places either all of it or none.
    const bool is_gang = part->m_part.m_job.m_spec.m_kind == job_kind::gang;
    std::map<part_home, std::vector<int>> moves;
    auto next = waiting.begin();
    for (const auto& offer : event.m_offers)
        for (int i = 0; i < offer.m_count && next != waiting.end(); ++i, ++next)
        {
            (*next)->m_state = job_task_state::moving;
            moves[is_gang ? event.m_offers.front().m_home : offer.m_home].push_back(
                (*next)->m_index);
        }
    if (!moves.empty())
        move_tasks(*part, moves, now);
}

std::map<job_id, job> job_manager::jobs() const
{
    std::map<job_id, job> result;
    for (const auto& [id, live] : m_parts)
    {
        const auto& part = live.m_part.m_job;
        if (part.m_tasks.empty())
            continue;
        auto& merged = result[part.m_spec.m_id];
        merged.m_spec = part.m_spec;
        merged.m_tasks.insert(merged.m_tasks.end(), part.m_tasks.begin(), part.m_tasks.end());
    }
    for (auto& [id, merged] : result)
        std::ranges::sort(merged.m_tasks, {}, &job_task::m_index);
    return result;
}

} // namespace dragonflygap::placement
