#include "basilhall/dispatch/call_records.h"

namespace basilhall::dispatch
{

namespace
{

std::size_t answerBytes(const Resolution &resolution)
{
    return resolution.answer ? resolution.answer->ByteSizeLong() : 0;
}

} // namespace

CallRecords::CallRecords(std::size_t maxRecords, std::size_t maxAnswerBytes)
    : m_maxRecords(maxRecords)
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

const Resolution *CallRecords::find(const CallId &callId) const
{
    const auto found = m_records.find(callId);
    return found == m_records.end() ? nullptr : &found->second;
}

void CallRecords::addNeverRun(const CallId &callId)
{
    add(callId, {CallState::NeverRun, std::nullopt});
    m_evictable.push_back(callId);
    evict();
}

void CallRecords::addWithoutAnswer(const CallId &callId)
{
    add(callId, {CallState::Unknown, std::nullopt});
    m_evictable.push_back(callId);
    evict();
}

void CallRecords::addOutcome(const CallId &callId, const ProgramId &program,
                             std::optional<wire::Answer> answer)
{
    const CallState state = answer ? CallState::Done : CallState::Unknown;
    add(callId, {state, std::move(answer)});
    m_unacknowledged[program].push_back(callId);
    ++m_unacknowledgedCount;
    evict();
}

void CallRecords::acknowledge(const ProgramId &program)
{
    const auto found = m_unacknowledged.find(program);
    if (found == m_unacknowledged.end()) {
        return;
    }
    for (const CallId &callId : found->second) {
        // The call id alone is enough to refuse a late duplicate.
        Resolution &record = m_records.at(callId);
        m_answerBytes -= answerBytes(record);
        record = {CallState::Unknown, std::nullopt};
        m_evictable.push_back(callId);
    }
    m_unacknowledgedCount -= found->second.size();
    m_unacknowledged.erase(found);
    evict();
}

bool CallRecords::canKeepOutcome(std::size_t pending) const
{
    return m_unacknowledgedCount + pending < m_maxRecords && m_answerBytes < m_maxAnswerBytes;
}

void CallRecords::add(const CallId &callId, Resolution resolution)
{
    m_answerBytes += answerBytes(resolution);
    m_records.emplace(callId, std::move(resolution));
}

void CallRecords::evict()
{
    while (m_records.size() > m_maxRecords && !m_evictable.empty()) {
        m_records.erase(m_evictable.front());
        m_evictable.pop_front();
    }
}

} // namespace basilhall::dispatch
