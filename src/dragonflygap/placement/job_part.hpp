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

/// Where a part belongs: the owner of these workers coordinates it.
struct part_home
{
    data_centre_id m_data_centre;
    ownership::group_index m_group = 0;

    auto operator<=>(const part_home&) const = default;
};

/// Some tasks of a job that are bound to the workers of one group; one row of the table.
struct job_part
{
    part_id m_id; ///< Unique for ever: JOB~SUFFIX.
    part_home m_home;
    job m_job; ///< The whole job's spec with the tasks of this part only.
    bool m_cancelled = false;
    std::string m_writer;         ///< Process that wrote the row.
    std::uint64_t m_revision = 0; ///< With the writer it makes every value unique.
};

/// Key prefix of the parts of a group.
std::string prefix_of(const part_home& home);
std::string key_of(const job_part& part);

std::string encode(const job_part& part);

/// A job as an operator would write it; parse_job reads it. The id isn't part of it.
std::string encode_spec(const job_spec& spec);

/// Nothing if the row isn't a readable part.
std::optional<job_part> decode_part(const platform::row& row);

/// True if no task of the part will run any more.
bool has_ended(const job_part& part);

} // namespace dragonflygap::placement
