#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/ownership/rows.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::placement
{

using part_id = identifier<struct part_tag>;

/// The worker group of a part; the owner of the group coordinates the part.
struct part_home
{
    data_centre_id m_data_centre;
    ownership::group_index m_group = 0;

    auto operator<=>(const part_home&) const = default;
};

/// Tasks of a job that are bound to the workers of one group; stored as one table row.
struct job_part
{
    part_id m_id; ///< JOB~SUFFIX; never reused.
    part_home m_home;
    job m_job; ///< The spec of the whole job, but only the tasks of this part.
    bool m_cancelled = false;
    std::string m_writer;         ///< Process that last wrote the row.
    std::uint64_t m_revision = 0; ///< Together with the writer, makes each value unique.
};

/// Key prefix of the parts of a group.
std::string prefix_of(const part_home& home);
std::string key_of(const job_part& part);

std::string encode(const job_part& part);

/// Encodes a job as an operator submits it, for parse_job. The id is not included.
std::string encode_spec(const job_spec& spec);

/// Returns nothing if the row can't be decoded.
std::optional<job_part> decode_part(const platform::row& row);

/// True if all tasks of the part have ended.
bool has_ended(const job_part& part);

} // namespace dragonflygap::placement
