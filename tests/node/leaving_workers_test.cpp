#include <random>
#include <string>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

/// A cell whose workers leave one after the other, while its leader and its store have troubles in
/// which the store goes on accepting what workers say.
class leaving_cell
{
public:
    explicit leaving_cell(unsigned seed)
        : m_random(seed), m_world({.m_workers = worker_count, .m_seed = seed, .m_approvals = false})
    {
    }

    void play()
    {
        m_world.run(4s);
        for (int i = 0; i < 40; ++i)
        {
            trouble();
            m_world.at(draw(0, worker_count - 1)).m_draining = true;
            for (int k = 0; k < 5; ++k)
            {
                submit_jobs();
                m_world.run(100ms);
            }
        }
    }

    const std::vector<std::string>& violations() const { return m_world.m_checker.m_violations; }
    std::size_t starts() const { return m_world.m_checker.m_starts.size(); }

private:
    static constexpr int worker_count = 60;

    int draw(int from, int to) { return std::uniform_int_distribution<>(from, to)(m_random); }
    duration draw_ms(int from, int to) { return std::chrono::milliseconds(draw(from, to)); }

    void trouble()
    {
        const auto leader = m_world.leader();
        if (leader.empty())
            return;
        switch (draw(0, 7))
        {
        case 0:
            m_world.slow_down(leader, draw_ms(10, 160));
            break;
        case 1:
            m_world.slow_down(leader, {});
            break;
        case 2:
            m_world.rows().m_faults.m_response_time = draw_ms(4, 600);
            break;
        case 3:
            m_world.rows().m_faults.m_response_time = 4ms;
            break;
        case 4:
            m_world.rows().compact();
            break;
        case 5:
            m_world.rows().m_faults.m_lost_feed_answers = draw(1, 3);
            break;
        case 6:
            m_world.kill(leader);
            m_world.run(draw_ms(1, 2000));
            m_world.start(leader);
            break;
        default:
            m_world.freeze(leader, true);
            m_world.run(draw_ms(100, 3000));
            m_world.freeze(leader, false);
            break;
        }
    }

    void submit_jobs()
    {
        for (int i = 0; i < 4; ++i)
        {
            const auto text = std::to_string(++m_jobs);
            m_world.submit("vm" + std::to_string(i % 3), std::string(16 - text.size(), '0') + text,
                           {{.m_cpu = 16000, .m_run_time = 1s}});
        }
    }

    std::mt19937_64 m_random;
    cell_world m_world;
    int m_jobs = 0;
};

} // namespace

TEST_GROUP(leaving_workers){};

// Rule DRAIN, whatever makes the leader's list of workers old.
TEST(leaving_workers, get_no_task_after_their_notice_under_drawn_troubles)
{
    std::size_t starts = 0;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        leaving_cell cell(seed);
        cell.play();
        starts += cell.starts();
        for (const auto& text : cell.violations())
            FAIL(("seed " + std::to_string(seed) + ": " + text).c_str());
    }
    CHECK_COMPARE(starts, >, 1000U);
}
