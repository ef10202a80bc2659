// Records the calls that an agent has finished or refused, so that none of them runs again.
//
//     CallRecords records(maxRecords, maxAnswerBytes);
//     records.addOutcome(callId, program, answer);
//     const Resolution *record = records.find(callId);
#pragma once

#include "basilhall/dispatch/dispatch.h"
#include "basilhall/dispatch/resolution.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace basilhall::dispatch
{

// Not thread-safe. The number of records is bounded and the oldest are evicted first. The outcome
// of a non-idempotent call is kept until it is acknowledged, so that NeverRun is reported only for
// calls that have not run.
class CallRecords
{
public:
    CallRecords(std::size_t maxRecords, std::size_t maxAnswerBytes);

    // Returns the record of the call, or nullptr.
    const Resolution *find(const CallId &callId) const;

    // Records that the call is refused for the lifetime of the incarnation.
    void addNeverRun(const CallId &callId);
    // Records that an idempotent call has run. Its answer is not kept.
    void addWithoutAnswer(const CallId &callId);
    // Records the outcome of a non-idempotent call; nullopt if the outcome is unknown.
    void addOutcome(const CallId &callId, const ProgramId &program,
                    std::optional<wire::Answer> answer);
    // The owner has recorded the outcomes of all calls of the program so far. Drops their answers.
    void acknowledge(const ProgramId &program);

    // Returns true if the outcome of one more non-idempotent call can be kept, in addition to those
    // of `pending` calls that are not finished.
    bool canKeepOutcome(std::size_t pending) const;
    std::size_t size() const { return m_records.size(); }

private:
    void add(const CallId &callId, Resolution resolution);
    void evict();

    const std::size_t m_maxRecords;
    const std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    std::unordered_map<CallId, Resolution> m_records;
    // Calls whose records may be evicted, oldest first.
    std::deque<CallId> m_evictable;
    std::unordered_map<ProgramId, std::vector<CallId>> m_unacknowledged;
    std::size_t m_unacknowledgedCount = 0;
};

} // namespace basilhall::dispatch
