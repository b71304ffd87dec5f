#include "dragonflygap/cell/row_split.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

constexpr char separator = '.';
/// Of a row, for the headers of its lists.
constexpr std::size_t usable_row_bytes = max_row_bytes - 1024;
constexpr std::size_t max_checkpoint_bytes = usable_row_bytes / 2;

/// Fills rows with entries one after another.
template <class Record>
class row_filler
{
public:
    template <class Entry>
    void add(std::vector<Entry> Record::*list, const Entry& entry)
    {
        const auto bytes = pack(entry).size();
        if (m_rows.empty() || m_bytes + bytes > usable_row_bytes)
        {
            m_rows.emplace_back();
            m_bytes = 0;
        }
        m_bytes += bytes;
        (m_rows.back().*list).push_back(entry);
    }

    bool fits(std::size_t bytes) const
    {
        return !m_rows.empty() && m_bytes + bytes <= usable_row_bytes;
    }

    std::vector<Record>& rows() { return m_rows; }

private:
    std::vector<Record> m_rows;
    std::size_t m_bytes = 0; ///< Of the last row.
};

bool tells_an_end(const task_progress& task)
{
    return task.m_done || !task.m_failed_runs.empty();
}

} // namespace

std::string row_key(std::string_view name, std::size_t number)
{
    std::string key(name);
    if (number > 0)
        key += separator + std::to_string(number);
    return key;
}

std::string_view name_of_row(std::string_view key)
{
    return key.substr(0, key.find(separator));
}

std::size_t number_of_row(std::string_view key)
{
    std::size_t number = 0;
    if (const auto at = key.find(separator); at != std::string_view::npos)
        std::from_chars(key.data() + at + 1, key.data() + key.size(), number);
    return number;
}

packed_rows pack_progress(const progress_record& progress, std::size_t max_rows)
{
    row_filler<progress_record> filler;
    for (const auto& range : progress.m_done)
        filler.add(&progress_record::m_done, range);
    for (const auto& bits : progress.m_done_bits)
        filler.add(&progress_record::m_done_bits, bits);
    for (const auto& stalls : progress.m_stalls)
        filler.add(&progress_record::m_stalls, stalls);
    packed_rows result;
    for (const auto& task : progress.m_tasks)
    {
        if (!tells_an_end(task))
            continue;
        auto entry = task;
        if (entry.m_checkpoint.size() > max_checkpoint_bytes)
        {
            entry.m_checkpoint.clear();
            ++result.m_dropped_checkpoints;
        }
        filler.add(&progress_record::m_tasks, entry);
    }
    if (filler.rows().empty())
        filler.rows().emplace_back();
    result.m_with_ends = filler.rows().size();
    for (const auto& task : progress.m_tasks)
    {
        if (tells_an_end(task))
            continue;
        if (task.m_checkpoint.size() > max_checkpoint_bytes ||
            (filler.rows().size() >= max_rows && !filler.fits(pack(task).size())))
            ++result.m_dropped_checkpoints;
        else
            filler.add(&progress_record::m_tasks, task);
    }
    for (const auto& row : filler.rows())
        result.m_rows.push_back(pack(row));
    return result;
}

void merge(progress_record& progress, progress_record&& more)
{
    const auto append = [](auto& to, auto& from)
    {
        to.insert(to.end(), std::make_move_iterator(from.begin()),
                  std::make_move_iterator(from.end()));
    };
    append(progress.m_tasks, more.m_tasks);
    append(progress.m_done, more.m_done);
    append(progress.m_done_bits, more.m_done_bits);
    append(progress.m_stalls, more.m_stalls);
}

std::vector<std::string> pack_workers(const workers_record& workers)
{
    // The group of each unheard worker.
    std::map<std::uint32_t, std::size_t> unheard;
    for (std::size_t group = 0; group < workers.m_unheard.size(); ++group)
        for (const auto position : workers.m_unheard[group].m_positions)
            unheard[position] = group;
    constexpr std::size_t position_bytes = 5;
    constexpr std::size_t life_bytes = 19;
    std::vector<std::string> rows;
    workers_record row{.m_epoch = workers.m_epoch};
    std::map<std::size_t, std::vector<std::uint32_t>> groups;
    std::size_t bytes = 0;
    const auto finish = [&]
    {
        for (auto& [number, positions] : groups)
        {
            const auto& group = workers.m_unheard[number];
            row.m_unheard.push_back({group.m_leases_until_ms, group.m_used, std::move(positions)});
        }
        rows.push_back(pack(std::exchange(row, {.m_epoch = workers.m_epoch})));
        groups.clear();
        bytes = 0;
    };
    for (std::uint32_t i = 0; i < workers.m_workers.size(); ++i)
    {
        const auto added = pack(workers.m_workers[i]).size() + position_bytes + life_bytes;
        if (bytes + added > usable_row_bytes)
            finish();
        bytes += added;
        if (const auto group = unheard.find(i); group != unheard.end())
            groups[group->second].push_back(static_cast<std::uint32_t>(row.m_workers.size()));
        row.m_workers.push_back(workers.m_workers[i]);
        if (i < workers.m_lives.size())
            row.m_lives.push_back(workers.m_lives[i]);
    }
    finish();
    return rows;
}

void merge(workers_record& workers, workers_record&& more)
{
    const auto offset = static_cast<std::uint32_t>(workers.m_workers.size());
    // All rows are written at once, so one of another leader is left over from an earlier list.
    if (!workers.m_workers.empty() && workers.m_epoch != more.m_epoch)
        return;
    workers.m_epoch = more.m_epoch;
    for (auto& group : more.m_unheard)
    {
        for (auto& position : group.m_positions)
            position += offset;
        workers.m_unheard.push_back(std::move(group));
    }
    workers.m_lives.resize(workers.m_workers.size());
    workers.m_lives.insert(workers.m_lives.end(), more.m_lives.begin(), more.m_lives.end());
    workers.m_workers.insert(workers.m_workers.end(),
                             std::make_move_iterator(more.m_workers.begin()),
                             std::make_move_iterator(more.m_workers.end()));
}

} // namespace dragonflygap::cell
