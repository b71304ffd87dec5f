#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::emulator
{

/// Emulates the platform's transactional table in memory.
class table_store
{
public:
    std::vector<platform::row> scan(std::string_view prefix) const;
    platform::commit_result commit(std::span<const platform::row_write> writes);

private:
    std::map<std::string, platform::row, std::less<>> m_rows;
    std::uint64_t m_last_version = 0; // shared by all rows: versions are never reused
};

} // namespace dragonflygap::emulator
