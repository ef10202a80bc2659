// The endpoints of one model or service, and the choice between them.
//
//     Pool pool("mati", settings);
//     pool.setEndpoint({EndpointName("e1"), FailureDomain("kolkata-a")});
//     pool.onReport(EndpointName("e1"), load, now);
//     Result<Choice> choice = pool.choose(query, randomBits, now);
//     pool.onSent(choice.value().endpoint, callId, tokens, now);
//     pool.onFinished(choice.value().endpoint, callId);
//     pool.onPrefix(choice.value().endpoint, program, tokensNowCached);
//
// A call goes to the endpoint with the lowest expected time to the first token: the wait, the
// prefill of prompt tokens that are not cached there, and the network round trip to another failure
// domain. A large pool is sampled, so that the time of a choice grows neither with the number of
// endpoints nor with the number of programs.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/route/endpoint_state.h"
#include "basilhall/route/prefix_memory.h"
#include "basilhall/route/query.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace basilhall::route
{

// Not thread-safe. Memory grows with the endpoints, and with the programs up to
// RouteSettings::maxPrograms.
class Pool
{
public:
    Pool(std::string name, const RouteSettings &settings);

    // Adds the endpoint, or changes its failure domain. It gets work after its first report.
    void setEndpoint(const EndpointInfo &info);
    void removeEndpoint(const EndpointName &endpoint);
    // Follows the host list, which marks the endpoint's host as leaving or as back.
    void setLeaving(const EndpointName &endpoint, bool leaving);

    void onReport(const EndpointName &endpoint, const EndpointLoad &load, Instant now);
    void onSent(const EndpointName &endpoint, const CallId &callId, std::uint64_t tokens,
                Instant now);
    // The call was answered or refused, whatever the outcome.
    void onFinished(const EndpointName &endpoint, const CallId &callId);
    // The endpoint has `tokens` of the program's prefix cached; 0 if none.
    void onPrefix(const EndpointName &endpoint, const ProgramId &program, std::uint64_t tokens);
    // `found` of `expected` cached tokens were in the endpoint's cache.
    void onPrefixUsed(const EndpointName &endpoint, std::uint64_t expected, std::uint64_t found);
    void onProgramEnded(const ProgramId &program);

    // Returns Unavailable with notRun() if no endpoint may get work. `randomBits` is uniformly
    // distributed.
    Result<Choice> choose(const Query &query, std::uint64_t randomBits, Instant now) const;

    std::size_t size() const { return m_endpoints.size(); }
    std::size_t usableCount(Instant now) const;
    const RouteSettings &settings() const { return m_settings; }

private:
    struct Entry {
        std::uint32_t number;
        EndpointState state;
    };

    struct Candidate {
        const Entry *entry = nullptr;
        double cost = 0;
        double waitSeconds = 0;
        std::uint64_t cached = 0;
    };

    Entry *find(const EndpointName &endpoint);
    const Entry *findByNumber(std::uint32_t number) const;
    bool isEligible(const Entry &entry, const Query &query, Instant now) const;
    void consider(const Entry &entry, const Query &query, Instant now, Candidate &best) const;
    void considerSample(const Query &query, std::uint64_t randomBits, Instant now,
                        Candidate &best) const;
    void considerAll(const Query &query, std::uint64_t randomBits, Instant now,
                     Candidate &best) const;

    std::string m_name;
    RouteSettings m_settings;
    std::vector<Entry> m_endpoints;
    std::unordered_map<EndpointName, std::size_t> m_positionByName;
    std::unordered_map<std::uint32_t, std::size_t> m_positionByNumber;
    PrefixMemory m_prefixMemory;
    std::uint32_t m_lastNumber = 0;
};

} // namespace basilhall::route
