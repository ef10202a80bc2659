#include "basilhall/placement/program_admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace basilhall;
using namespace basilhall::placement;

namespace
{

// Replays a burst on engines that share their time among the turns that run: programs of several
// turns arrive, and each counts if it ends within twice its time on idle engines.
class BurstReplay
{
public:
    explicit BurstReplay(bool refusesPrograms)
        : m_refusesPrograms(refusesPrograms)
    {
    }

    // Returns the number of programs that ended in time.
    int run()
    {
        for (int step = 0; step < kSteps; ++step) {
            arrive(step);
            work(step);
        }
        return m_inTime;
    }

    int refused() const { return m_refused; }

private:
    struct Program {
        int beganAt = 0;
        double remaining = 0;
    };

    static constexpr int kSteps = 4000; // of 10 ms
    static constexpr int kSlots = 60;
    static constexpr double kWork = 120; // steps on an idle engine
    // Programs per step that occupy half of the slots, and three times as many in the burst.
    static constexpr double kNormalRate = 0.25;
    static constexpr double kBurstRate = 0.75;

    void arrive(int step)
    {
        const bool isBurst = step > 500 && step < 1500;
        std::bernoulli_distribution arrives(isBurst ? kBurstRate : kNormalRate);
        if (!arrives(m_random)) {
            return;
        }
        const EngineLoad load{m_programs.size(), kSlots, 1};
        if (m_refusesPrograms && refusesProgram(load, 1, m_random())) {
            ++m_refused;
            return;
        }
        m_programs.push_back({step, kWork});
    }

    void work(int step)
    {
        const double share =
            std::min(1.0, static_cast<double>(kSlots) / static_cast<double>(m_programs.size()));
        for (Program &program : m_programs) {
            program.remaining -= share;
        }
        std::erase_if(m_programs, [&](const Program &program) {
            if (program.remaining > 0) {
                return false;
            }
            m_inTime += step - program.beganAt <= 1.4 * kWork ? 1 : 0;
            return true;
        });
    }

    bool m_refusesPrograms;
    std::mt19937_64 m_random{1};
    std::vector<Program> m_programs;
    int m_inTime = 0;
    int m_refused = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program_admission)

BOOST_AUTO_TEST_CASE(nothingIsRefusedBelowTheLimits)
{
    BOOST_TEST(refusedShare({30, 100, 5}, 1) == 0.0);
    BOOST_TEST(refusedShare({79, 100, 2}, 1) == 0.0);
    BOOST_TEST(refusedShare({0, 0, 1}, 1) == 0.0);
}

BOOST_AUTO_TEST_CASE(lessUrgentProgramsAreRefusedFirst)
{
    const EngineLoad full{95, 100, 1};
    BOOST_TEST(refusedShare(full, 1) > 0.0);
    BOOST_TEST(refusedShare(full, 0) == 0.0);
    for (const std::uint64_t requests : {110, 140, 10'000}) {
        const EngineLoad queued{requests, 100, 1};
        BOOST_TEST(refusedShare(queued, 0) > 0.0);
        BOOST_TEST(refusedShare(queued, 1) > refusedShare(queued, 0));
    }
}

BOOST_AUTO_TEST_CASE(slowEnginesCountAsOverloaded)
{
    BOOST_TEST(refusedShare({60, 100, 3}, 1) > 0.0);
}

BOOST_AUTO_TEST_CASE(someProgramsAreAlwaysServed)
{
    BOOST_TEST(refusedShare({10'000, 100, 50}, 1) < 1.0);
    BOOST_TEST(refusedShare({10'000, 100, 50}, 0) < 1.0);
}

BOOST_AUTO_TEST_CASE(retriesOfOneProgramAreDecidedAlike)
{
    const EngineLoad load{100, 100, 1};
    BOOST_TEST(refusesProgram(load, 1, 0));
    BOOST_TEST(!refusesProgram(load, 1, 1023));
}

BOOST_AUTO_TEST_CASE(moreProgramsEndInTimeThroughABurst)
{
    BurstReplay open(false);
    BurstReplay admitted(true);
    const int inTimeOpen = open.run();
    const int inTimeAdmitted = admitted.run();
    BOOST_TEST(inTimeAdmitted > inTimeOpen * 1.2);
    BOOST_TEST(admitted.refused() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
