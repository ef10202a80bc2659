// Measures the team limits: messages, memory and wrongful refusals, from small to large fleets.
//
//     basilhall-limiter-bench --seeds 3
#include "basilhall/wire/wire.pb.h"
#include "bench/limiter/traffic.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <tclap/CmdLine.h>

using namespace basilhall;
using namespace basilhall::bench;

namespace
{

constexpr Duration kOneWay = std::chrono::milliseconds(1);
// At the target 9,800 calls a second reach 340 hosts.
constexpr double kCallsPerHost = 9800.0 / 340;

struct Case {
    std::uint32_t hosts;
    std::uint32_t teams;
};

struct Outcome {
    double messagesPerHostSecond = 0;
    double refusedShare = 0;
    double wrongfulShare = 0;
    double shortfallShare = 0;
    double worstExcess = 0;
    double cachedTeamsPerHost = 0;
};

Outcome measure(const TrafficSettings &traffic, const limit::LimitTimes &times,
                std::uint32_t slices)
{
    Timeline timeline;
    FleetLimits limits(timeline, traffic.hosts, kOneWay, slices, times);
    Traffic run(timeline, limits, traffic);
    run.run();
    const auto calls = static_cast<double>(run.calls());
    const double hostSeconds =
        traffic.hosts * std::chrono::duration<double>(traffic.length).count();
    return {static_cast<double>(limits.messages()) / hostSeconds,
            static_cast<double>(limits.refused()) / calls,
            static_cast<double>(limits.wrongfullyRefused()) / calls,
            static_cast<double>(limits.shortfall()) / calls,
            limits.worstExcess(),
            static_cast<double>(limits.cachedTeams()) / traffic.hosts};
}

void printRow(const TrafficSettings &traffic, const limit::LimitTimes &times, std::uint32_t slices,
              std::uint64_t seeds)
{
    Outcome sum;
    double worstExcess = 0;
    double worstWrongful = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        TrafficSettings seeded = traffic;
        seeded.seed = seed;
        const Outcome one = measure(seeded, times, slices);
        const auto part = static_cast<double>(seeds);
        sum.messagesPerHostSecond += one.messagesPerHostSecond / part;
        sum.refusedShare += one.refusedShare / part;
        sum.wrongfulShare += one.wrongfulShare / part;
        sum.shortfallShare += one.shortfallShare / part;
        sum.cachedTeamsPerHost += one.cachedTeamsPerHost / part;
        worstExcess = std::max(worstExcess, one.worstExcess);
        worstWrongful = std::max(worstWrongful, one.wrongfulShare);
    }
    std::printf("%5u %6u %6u %8.2f %5s %9.1f %9.1f %10.5f %10.5f %10.5f %10.5f %8.3f\n",
                traffic.hosts, traffic.teams, slices, traffic.headroom,
                traffic.losesHost ? "lost" : "-", sum.messagesPerHostSecond, sum.cachedTeamsPerHost,
                sum.refusedShare * 100, sum.wrongfulShare * 100, worstWrongful * 100,
                sum.shortfallShare * 100, worstExcess);
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Bytes on the heap for each team in a host's cache, and for each slice at a limiter.
void printMemory()
{
    constexpr std::uint32_t kTeams = 30'000;
    const Instant now{std::chrono::hours(1)};
    std::vector<TeamName> names;
    for (std::uint32_t team = 0; team < kTeams; ++team) {
        names.emplace_back("team-" + std::to_string(team));
    }
    const std::size_t before = heapBytes();
    limit::GrantCache cache({});
    for (const TeamName &name : names) {
        const limit::GrantActions actions = cache.admit(1, name, now);
        cache.onGranted(actions.grantRequests.front(), {1, std::chrono::seconds(1)}, now);
    }
    const std::size_t between = heapBytes();
    limit::Limiter limiter(limit::LimitTimes{});
    limiter.onLeaseRenewed(now);
    for (const TeamName &name : names) {
        limiter.adoptFresh({name, 0}, {1000, 5}, now);
        limiter
            .acquire(Incarnation("0123456789abcdef0123456789abcdef"),
                     limit::GrantRequest{name, 0, 1, 0, 1}, now)
            .value();
    }
    const std::size_t after = heapBytes();
    std::printf("bytes for each team in a host's cache: %zu; for each slice at a limiter, one "
                "grant out: %zu\n",
                (between - before) / kTeams, (after - between) / kTeams);
}

void printMessageSizes()
{
    wire::AcquireRequest request;
    request.set_team("a-team-with-a-usual-name");
    request.set_host_incarnation("0123456789abcdef0123456789abcdef");
    request.set_requests(30);
    request.set_number(1'000'000);
    request.set_settled(999'999);
    request.set_slice(1);
    wire::AcquireReply reply;
    reply.set_granted(30);
    reply.set_valid_ms(1000);
    std::printf("bytes of a question: %zu, of its answer: %zu, without framing\n",
                request.ByteSizeLong(), reply.ByteSizeLong());
}

int runTool(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the team limits of a fleet under virtual time", ' ', "1");
    TCLAP::ValueArg<unsigned> seedArg("s", "seeds", "number of seeds", false, 3, "number", line);
    TCLAP::ValueArg<unsigned> lengthArg("t", "seconds", "virtual seconds", false, 60, "seconds",
                                        line);
    TCLAP::ValueArg<unsigned> directArg("", "direct-ms", "validity of a direct grant", false, 100,
                                        "ms", line);
    TCLAP::ValueArg<unsigned> transitArg("", "transit-ms", "time in transit", false, 100, "ms",
                                         line);
    TCLAP::ValueArg<unsigned> leaseArg("", "lease-ms", "lease of a limiter", false, 6000, "ms",
                                       line);
    TCLAP::ValueArg<unsigned> maxHostArg("m", "max-hosts", "largest fleet", false, 340, "hosts",
                                         line);
    line.parse(argc, argv);
    limit::LimitTimes times;
    times.directValidity = std::chrono::milliseconds(directArg.getValue());
    times.maxSendDelay = std::chrono::milliseconds(transitArg.getValue());
    times.lease = std::chrono::milliseconds(leaseArg.getValue());
    printMessageSizes();
    printMemory();
    std::printf("%5s %6s %6s %8s %5s %9s %9s %10s %10s %10s %10s %8s\n", "hosts", "teams", "slices",
                "headroom", "fault", "msg/h/s", "teams/h", "refused%", "wrongful%", "worst%",
                "short%", "excess");
    for (const Case &size : {Case{3, 8}, Case{3, 1000}, Case{34, 3000}, Case{340, 30'000}}) {
        if (size.hosts > maxHostArg.getValue()) {
            continue;
        }
        for (const std::uint32_t slices : {1U, 2U, 3U}) {
            for (const double headroom : {1.1, 1.5, 3.0}) {
                for (const bool losesHost : {false, true}) {
                    TrafficSettings traffic;
                    traffic.hosts = size.hosts;
                    traffic.teams = size.teams;
                    traffic.callsPerSecond = kCallsPerHost * size.hosts;
                    traffic.headroom = headroom;
                    traffic.length = std::chrono::seconds(lengthArg.getValue());
                    traffic.losesHost = losesHost;
                    printRow(traffic, times, slices, seedArg.getValue());
                }
            }
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runTool(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "limiter-bench: %s\n", error.what());
        return 1;
    }
}
