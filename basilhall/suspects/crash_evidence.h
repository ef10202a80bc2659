// Which endpoint processes ended while they ran which requests, as far as this gateway and its
// peers saw it. Facts may be merged in any order and any number of times.
//
// A run whose connection breaks counts as an end of the process, until the process answers a
// request that was sent later, or for kConfirmTime unless the process is known to be gone: its
// address refuses connections, its registration is removed, or a later process is registered. Of
// the requests that one end cut off, those that ran at the most ends are taken to have caused it,
// and once one of them is held, it explains its ends for good. A complete run proves that the
// request is sound.
//
//     CrashEvidence evidence;
//     evidence.onBroken(key, process, sentAt, now);
//     const Suspicion suspicion = evidence.suspicion(key);
//     evidence.onCompleted(key, now);
//     evidence.onAnswered(process, sentAt);
//     for (const RequestFacts &facts : evidence.takeChanges()) {
//         send(facts);
//     }
#pragma once

#include "basilhall/suspects/endpoint_process.h"
#include "basilhall/suspects/request_facts.h"
#include "basilhall/suspects/request_key.h"
#include "basilhall/suspects/suspicion.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace basilhall::suspects
{

// Not thread-safe.
class CrashEvidence
{
public:
    // The connection broke after the request had been sent to the process and before its answer was
    // complete.
    void onBroken(RequestKey key, const EndpointProcess &process, Instant now);
    // A run ended with a complete answer. Returns false if nothing was held against the request.
    bool onCompleted(RequestKey key, Instant now);
    // A run that may end one more process began.
    void onRun(RequestKey key, Instant now);
    // The process answered a request that was sent at `sentAt`, so no run that broke before ended
    // it. Returns the number of runs that are no longer held against requests.
    std::size_t onAnswered(const EndpointProcess &process, Instant sentAt);
    // The address of the process refuses connections: it has ended, and an answer that seems to be
    // of it comes from its successor.
    void onRefused(const EndpointProcess &process, Instant now);
    // The registration of the endpoint has been removed.
    void onRemoved(const EndpointName &name, Instant now);
    // The endpoint is registered with a process that started at `startedAt`, 0 if unknown: those
    // that started before have ended.
    void onRegistered(const EndpointName &name, WallMillis startedAt, Instant now);

    Suspicion suspicion(RequestKey key) const;
    std::size_t size() const { return m_requests.size(); }

    // Facts that this gateway saw and the peers have not been told of.
    std::vector<RequestFacts> takeChanges();
    std::vector<ProcessAnswer> takeAnswers();
    // What a peer that has no facts needs to know: the requests with the most ends.
    std::vector<RequestFacts> summary() const;
    // Merges the facts of a peer, with times on the time line of this process.
    void merge(const RequestFacts &facts, Instant now);
    void merge(const ProcessAnswer &answer);

    // Drops ends of processes that are not known to be gone, after kConfirmTime, and forgets
    // requests without a new end for kRetention.
    void expire(Instant now);

    static constexpr std::size_t kMaxRequests = 4096;
    static constexpr std::size_t kMaxSummary = 512;
    static constexpr std::size_t kMaxEnds = 8;
    static constexpr Duration kRetention = std::chrono::hours(1);
    // An endpoint that has ended refuses connections or loses its registration within this time.
    static constexpr Duration kConfirmTime = std::chrono::seconds(6);
    // Time for which answers, refused connections and complete runs are kept for late reports.
    static constexpr Duration kAnswerRetention = std::chrono::seconds(30);

private:
    struct Request {
        // When each run broke.
        std::map<EndpointProcess, Instant> ends;
        std::optional<Instant> completedAt;
        std::optional<Instant> runAt;
        Instant changedAt;
        // It has been held, and had no complete run since.
        bool isCause = false;
    };

    // Returns true if the end is new.
    bool addEnd(RequestKey key, const EndpointProcess &process, Instant at, Instant now);
    bool complete(RequestKey key, Instant at, Instant now);
    std::size_t clear(const ProcessAnswer &answer);
    // Drops the ends of the process up to `last`. Returns their number.
    std::size_t dropEnds(const EndpointProcess &process, Instant last);
    void unlink(RequestKey key, const EndpointProcess &process);
    // Drops an eighth of the requests, those with the fewest ends and the oldest.
    void limitSize();
    // True if the end is explained by a cause other than the request.
    bool isExplained(RequestKey key, const EndpointProcess &process) const;
    // Number of ends of the request that are not explained.
    std::size_t openEnds(RequestKey key, const Request &request) const;
    void findCause(RequestKey key);
    RequestFacts factsOf(RequestKey key, const Request &request) const;

    std::unordered_map<RequestKey, Request> m_requests;
    // The requests in `m_requests` that have an end of the process.
    std::map<EndpointProcess, std::set<RequestKey>> m_byProcess;
    // Processes that are known to have ended, and since when.
    std::map<EndpointProcess, Instant> m_gone;
    // Send times of the last answered requests.
    std::map<EndpointProcess, Instant> m_answered;
    std::set<RequestKey> m_changed;
    std::map<EndpointProcess, Instant> m_changedAnswers;
};

} // namespace basilhall::suspects
