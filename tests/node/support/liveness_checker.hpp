#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/support/cell_world.hpp"

namespace stand_in
{

/// Records accepted steps that have nothing running although they could.
///
/// A step waits while its turn has come, it isn't done and none of its tasks runs. Its wait counts
/// only while the cell is sound: the same VM leads and is neither cut off nor frozen, the store has
/// no fault, and workers without faults have at least half of the cell's capacity free.
class liveness_checker
{
public:
    liveness_checker(cell_world& world, duration max_wait);

    /// Samples the cell; to be called several times a second.
    void sample();
    /// The accepted jobs that aren't done, but those accepted after this time.
    std::vector<std::string> unfinished(std::int64_t accepted_until_ms) const;

    std::vector<std::string> m_violations;

private:
    using step_name = std::pair<std::string, int>;
    struct wait
    {
        std::int64_t m_since_ms = 0;
        int m_starts = 0;
        bool m_reported = false;
    };

    bool cell_is_sound();
    bool has_free_capacity();
    bool is_done(const std::string& job, int step) const;
    bool is_due(const std::string& job, int step) const;
    void check(const std::string& job, int step, bool sound);

    cell_world& m_world;
    std::int64_t m_max_wait_ms;
    std::string m_last_leader;
    std::map<std::string, std::int64_t> m_open; ///< Accepted jobs that aren't done: since when.
    std::set<std::string> m_closed;
    std::map<step_name, wait> m_waits;
};

} // namespace stand_in
