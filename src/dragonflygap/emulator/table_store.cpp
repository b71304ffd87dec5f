#include "dragonflygap/emulator/table_store.hpp"

namespace dragonflygap::emulator
{

std::vector<platform::row> table_store::scan(std::string_view prefix) const
{
    std::vector<platform::row> result;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it)
    {
        if (!it->first.starts_with(prefix))
            break;
        result.push_back(it->second);
    }
    return result;
}

platform::commit_result table_store::commit(std::span<const platform::row_write> writes)
{
    platform::commit_result result{.m_committed = true};
    for (const auto& write : writes)
    {
        const auto found = m_rows.find(write.m_key);
        const auto version = found == m_rows.end() ? 0 : found->second.m_version;
        if (version == write.m_expected_version)
            continue;
        result.m_committed = false;
        result.m_rows.push_back(found == m_rows.end() ? platform::row{.m_key = write.m_key}
                                                      : found->second);
    }
    if (!result.m_committed)
        return result;
    for (const auto& write : writes)
    {
        if (!write.m_value)
        {
            m_rows.erase(write.m_key);
            continue;
        }
        m_rows[write.m_key] = {write.m_key, ++m_last_version, *write.m_value};
        result.m_rows.push_back(m_rows[write.m_key]);
    }
    return result;
}

} // namespace dragonflygap::emulator
