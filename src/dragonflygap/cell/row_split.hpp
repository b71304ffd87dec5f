#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/cell/records.hpp"

/// Records that may be too large for one row, over several.
namespace dragonflygap::cell
{

/// Key of one of the rows that hold a record: the name alone for the first, then with a number.
std::string row_key(std::string_view name, std::size_t number);

/// The name in such a key.
std::string_view name_of_row(std::string_view key);

/// The number in such a key; 0 for the first row.
std::size_t number_of_row(std::string_view key);

/// Packed rows of one record.
struct packed_rows
{
    std::vector<std::string> m_rows;
    /// The first rows hold all ends of tasks; the others only checkpoints.
    std::size_t m_with_ends = 0;
    std::size_t m_dropped_checkpoints = 0; ///< They didn't fit into max_rows.
};

/// Packs progress into rows that the store accepts. Ends are never dropped, checkpoints are if more
/// than max_rows were needed.
packed_rows pack_progress(const progress_record& progress, std::size_t max_rows);

/// Adds the entries of another row of the same job.
void merge(progress_record& progress, progress_record&& more);

/// Packs workers into rows that the store accepts.
std::vector<std::string> pack_workers(const workers_record& workers);

/// Adds the workers of another row.
void merge(workers_record& workers, workers_record&& more);

} // namespace dragonflygap::cell
