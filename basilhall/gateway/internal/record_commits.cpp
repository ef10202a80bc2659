#include "basilhall/gateway/internal/record_commits.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/mesh_peer.h"
#include "basilhall/gateway/internal/peer_requests.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

// Time limit for the writing gateway to make records durable; after it, a gateway writes turns
// itself. A writer that catches up after an outage needs 200 ms per batch, and a record waits for
// two and a half batches. A shorter limit would cause records to be written twice and add to its
// load.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(700);
// Time for which a busy writer is not asked again. It needs 200 ms for the records that it accepts
// at most.
constexpr Duration kBusyPause = std::chrono::milliseconds(50);
// Maximum number of writers that are asked to write one record: if two failure domains cannot
// write, the object API is unavailable.
constexpr std::size_t kMaxCommitWriters = 2;
// Pause before a writer that did not make records durable is asked again.
constexpr Duration kWriterRetry = std::chrono::seconds(1);
// Time limit for a peer to make relayed records durable.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(400);

Instant now()
{
    return MonotonicClock().now();
}

} // namespace

RecordCommits::RecordCommits(PeerCall call, logging::Log log)
    : m_call(std::move(call))
    , m_log(std::move(log))
{
}

std::string RecordCommits::encode(std::vector<journal::Record> records,
                                  const std::set<Incarnation> &announcedTo)
{
    wire::KeepRequest request;
    for (const Incarnation &incarnation : announcedTo) {
        request.add_announced_to(incarnation.value());
    }
    for (journal::Record &record : records) {
        *request.add_records() = std::move(record);
    }
    return request.SerializeAsString();
}

asio::awaitable<RecordCommits::Outcome> RecordCommits::keep(Peer &peer, std::string request,
                                                            Duration timeout)
{
    const auto message =
        co_await m_call(peer.member.address, kKeepMethod, std::move(request), timeout);
    wire::KeepReply reply;
    if (!message || !reply.ParseFromString(*message)) {
        co_return Outcome::Failed;
    }
    if (reply.is_busy()) {
        peer.busyUntil = now() + kBusyPause;
        co_return Outcome::Busy;
    }
    co_return reply.durable() ? Outcome::Durable : Outcome::Failed;
}

asio::awaitable<CommitOutcome> RecordCommits::commit(std::vector<std::shared_ptr<Peer>> writers,
                                                     std::string request)
{
    std::size_t tries = 0;
    bool isAnyBusy = false;
    for (const auto &writer : writers) {
        if (!writer) {
            co_return CommitOutcome::WriteLocally;
        }
        if (now() < writer->busyUntil) {
            isAnyBusy = true;
            continue;
        }
        if (writer->refusedRecordsAt && now() - *writer->refusedRecordsAt < kWriterRetry) {
            continue;
        }
        if (++tries > kMaxCommitWriters) {
            break;
        }
        const Outcome outcome = co_await keep(*writer, request, kCommitTimeout);
        if (outcome == Outcome::Durable) {
            co_return CommitOutcome::Durable;
        }
        if (outcome == Outcome::Busy) {
            isAnyBusy = true;
            continue;
        }
        writer->refusedRecordsAt = now();
        m_log.info("The writing gateway did not make records durable.",
                   Field("peer", writer->member.host));
    }
    co_return isAnyBusy ? CommitOutcome::WriteLocally : CommitOutcome::Failed;
}

asio::awaitable<bool> RecordCommits::relay(std::vector<std::shared_ptr<Peer>> peers,
                                           std::string request)
{
    std::vector<std::shared_ptr<Peer>> busy;
    for (const auto &peer : peers) {
        if (now() < peer->busyUntil) {
            busy.push_back(peer);
            continue;
        }
        const Outcome outcome = co_await keep(*peer, request, kRelayTimeout);
        if (outcome == Outcome::Durable) {
            co_return true;
        }
        if (outcome == Outcome::Busy) {
            busy.push_back(peer);
        }
    }
    if (busy.empty()) {
        co_return false;
    }
    // This gateway cannot write the records itself.
    asio::steady_timer timer(co_await asio::this_coro::executor, kBusyPause);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    for (const auto &peer : busy) {
        const Outcome outcome = co_await keep(*peer, request, kRelayTimeout);
        if (outcome == Outcome::Durable) {
            co_return true;
        }
    }
    co_return false;
}

} // namespace basilhall::gateway
