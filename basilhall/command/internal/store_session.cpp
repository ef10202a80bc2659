#include "basilhall/command/internal/store_session.h"

#include <algorithm>

namespace basilhall::command::internal
{

namespace
{

constexpr Duration kShortestPause = std::chrono::milliseconds(1);

} // namespace

StoreSession::StoreSession(Address server, const std::string &nameSpace)
    : m_client(m_io.get_executor())
    , m_store(m_io.get_executor(), m_client, std::move(server), nameSpace, kRequestTimeout)
    , m_timer(m_io)
{
}

StoreSession::~StoreSession() = default;

bool StoreSession::drive(const Steps &steps, Duration patience)
{
    m_deadline = m_clock.now() + patience;
    m_io.restart();
    step(steps);
    m_io.run();
    return steps.isFinished();
}

void StoreSession::step(const Steps &steps)
{
    if (m_io.stopped()) {
        return;
    }
    const Instant now = m_clock.now();
    if (steps.isFinished() || now >= m_deadline) {
        m_io.stop();
        return;
    }
    for (store::Operation &operation : steps.advance(now)) {
        m_store.execute(std::move(operation.request),
                        [this, &steps, id = operation.id](const store::Outcome &outcome) {
                            steps.onOutcome(id, outcome, m_clock.now());
                            step(steps);
                        });
    }
    const Instant wakeAt = std::min(steps.nextWake().value_or(m_deadline), m_deadline);
    m_timer.expires_after(std::max(wakeAt - now, kShortestPause));
    m_timer.async_wait([this, &steps](boost::system::error_code failure) {
        if (!failure) {
            step(steps);
        }
    });
}

} // namespace basilhall::command::internal
