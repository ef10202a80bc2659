#include "basilhall/hostload/host_load.h"
#include "basilhall/hostload/program_admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace basilhall;
using namespace basilhall::hostload;
using namespace std::chrono_literals;

namespace
{

// Replays a host with one processor that handles events in the order of their arrival. Programs of
// several turns arrive; a caller that has no answer in time repeats its turn, while the host still
// works on the first one.
class HostReplay
{
public:
    // Usual load, 5 s of overload, and the usual load again.
    void run()
    {
        while (m_now < Instant() + kEnd) {
            arrive();
            returnCallers();
            work();
            m_now += kStep;
        }
    }

    // Part of the programs that arrived in [from, to) and ended in time.
    double shareInTime(Duration from, Duration to) const
    {
        double arrived = 0;
        double inTime = 0;
        for (const Program &program : m_programs) {
            if (program.arrivedAt >= Instant() + from && program.arrivedAt < Instant() + to) {
                ++arrived;
                inTime += program.hasEnded ? 1 : 0;
            }
        }
        return arrived == 0 ? 0 : inTime / arrived;
    }

    static constexpr Duration kOverloadFrom = 10s;
    static constexpr Duration kOverloadUntil = 15s;

private:
    struct Program {
        Instant arrivedAt;
        std::uint64_t hash = 0;
        std::uint32_t priority = 0;
        int turn = 0;
        int tries = 0;
        bool hasEnded = false;
        bool hasFailed = false;
        // Number of the try whose answer the caller waits for.
        std::uint64_t awaited = 0;
        Instant giveUpAt;
        // Set while the caller waits before it sends the turn again.
        std::optional<Instant> returnAt;
    };

private:
    struct Event {
        std::size_t program = 0;
        std::uint64_t number = 0;
    };

    static constexpr Duration kStep = 1ms;
    static constexpr Duration kEnd = 50s;
    static constexpr int kTurns = 4;
    static constexpr int kMaxTries = 4;
    static constexpr Duration kTurnWork = 6ms;
    static constexpr Duration kRefusalWork = 600us;
    static constexpr Duration kTurnTimeout = 700ms;
    static constexpr Duration kProgramTimeout = 6s;
    // Programs a second that take 0.72 of the processor, and four times as many.
    static constexpr double kUsualRate = 30;
    static constexpr double kOverloadRate = 120;

    void arrive()
    {
        const bool isOverload =
            m_now >= Instant() + kOverloadFrom && m_now < Instant() + kOverloadUntil;
        std::bernoulli_distribution arrives((isOverload ? kOverloadRate : kUsualRate) / 1000);
        if (arrives(m_random)) {
            Program &program = m_programs.emplace_back();
            program.arrivedAt = m_now;
            program.hash = m_random();
            program.priority = static_cast<std::uint32_t>(m_random() % 2);
            send(m_programs.size() - 1);
        }
    }

    void send(std::size_t index)
    {
        Program &program = m_programs[index];
        program.returnAt.reset();
        program.awaited = ++m_lastNumber;
        program.giveUpAt = m_now + kTurnTimeout;
        m_running.insert(index);
        m_events.push_back({index, program.awaited});
    }

    void returnCallers()
    {
        const std::vector<std::size_t> running(m_running.begin(), m_running.end());
        for (const std::size_t index : running) {
            Program &program = m_programs[index];
            if (m_now >= program.arrivedAt + kProgramTimeout) {
                fail(index);
            } else if (program.returnAt) {
                if (m_now >= *program.returnAt) {
                    send(index);
                }
            } else if (m_now >= program.giveUpAt) {
                if (++program.tries >= kMaxTries) {
                    fail(index);
                } else {
                    send(index);
                }
            }
        }
    }

    void fail(std::size_t index)
    {
        m_programs[index].hasFailed = true;
        m_running.erase(index);
    }

    // Uses the processor for one step.
    void work()
    {
        if (m_now >= m_timerDue && !m_isTimerQueued) {
            m_isTimerQueued = true;
            m_events.push_back({kTimer, 0});
        }
        m_processorLeft = std::min(m_processorLeft, Duration::zero()) + kStep;
        while (m_processorLeft > Duration::zero() && !m_events.empty()) {
            const Event event = m_events.front();
            m_events.pop_front();
            m_processorLeft -= handle(event);
        }
    }

    // Returns the processor time that the event takes.
    Duration handle(const Event &event)
    {
        if (event.program == kTimer) {
            m_load.onTimer(m_now - m_timerDue, m_now);
            m_timerDue = m_now + 40ms;
            m_isTimerQueued = false;
            return Duration::zero();
        }
        Program &program = m_programs[event.program];
        const bool isAwaited = program.awaited == event.number && !program.hasFailed;
        if (program.turn == 0
            && refusesProgram(m_load.loopDelay(), program.priority, program.hash)) {
            if (isAwaited) {
                program.returnAt = m_now + retryAfter(m_load.loopDelay(), program.hash);
            }
            return kRefusalWork;
        }
        if (isAwaited) {
            program.tries = 0;
            if (++program.turn == kTurns) {
                program.hasEnded = true;
                m_running.erase(event.program);
            } else {
                send(event.program);
            }
        }
        return kTurnWork;
    }

    static constexpr std::size_t kTimer = ~std::size_t(0);

    std::mt19937_64 m_random{1};
    Instant m_now;
    HostLoad m_load;
    Instant m_timerDue;
    bool m_isTimerQueued = false;
    std::vector<Program> m_programs;
    std::set<std::size_t> m_running;
    std::deque<Event> m_events;
    std::uint64_t m_lastNumber = 0;
    Duration m_processorLeft{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(overload_recovery)

// Issue 36, SHORT: a fleet that was overloaded for some seconds served too little at its usual load
// from then on.
BOOST_AUTO_TEST_CASE(theShareInTimeIsBackSomeSecondsAfterAnOverload)
{
    HostReplay replay;
    replay.run();
    BOOST_TEST(replay.shareInTime(1s, HostReplay::kOverloadFrom) > 0.95);
    BOOST_TEST(replay.shareInTime(HostReplay::kOverloadUntil + 5s, HostReplay::kOverloadUntil + 25s)
               > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
