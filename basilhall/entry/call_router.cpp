#include "basilhall/entry/call_router.h"

#include "basilhall/entry/ask_peer.h"
#include "basilhall/wire/error_codec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kPeerTimeout = std::chrono::seconds(1);
// A call that finds no owner within this time is rejected.
constexpr Duration kOwnerSearchTimeout = std::chrono::seconds(4);
constexpr Duration kSearchInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryAfter = std::chrono::seconds(2);

bool indicatesOwnerChange(const Error &error)
{
    return error.kind() == ErrorKind::NotOwner || error.kind() == ErrorKind::StaleEpoch
        || error.kind() == ErrorKind::ConnectionLost;
}

Error noOwnerError(const std::string &program)
{
    return Error(ErrorKind::Unavailable, "program \"" + program + "\" has no owner at the moment")
        .withNotRun()
        .withRetryAfter(kRetryAfter);
}

wire::CallReply errorReply(const Error &error)
{
    wire::CallReply reply;
    *reply.mutable_error() = wire::toReply(error);
    return reply;
}

// Returns `error` for the caller, without not_run if an earlier attempt may have run the call.
Error errorForCaller(const Error &error, bool mayHaveRun)
{
    if (!mayHaveRun) {
        return error;
    }
    return Error(error.kind(), error.message())
        .withRetryAfter(error.retryAfter().value_or(kRetryAfter));
}

} // namespace

// Relays the replies of one attempt, but holds back its error so that the call can be retried.
class CallRouter::Attempt
{
public:
    Attempt(ReplySink &sink, bool &hasRelayed)
        : m_sink(sink)
        , m_hasRelayed(hasRelayed)
    {
    }

    asio::awaitable<Result<void>> pass(wire::CallReply reply)
    {
        if (reply.has_error()) {
            m_error = wire::fromReply(reply.error());
            co_return success();
        }
        m_isFinished = m_isFinished || reply.has_finished();
        m_hasRelayed = m_hasRelayed || reply.event_case() == wire::CallReply::kChunk;
        co_return co_await m_sink(std::move(reply));
    }

    void fail(const Error &error) { m_error = error; }
    bool isFinished() const { return m_isFinished; }
    const std::optional<Error> &error() const { return m_error; }

private:
    ReplySink &m_sink;
    bool &m_hasRelayed;
    bool m_isFinished = false;
    std::optional<Error> m_error;
};

CallRouter::CallRouter(OwnerDriver &owner, transport::StreamClient &client,
                       std::function<RoutingViewPtr()> view, std::function<Instant()> now)
    : m_owner(owner)
    , m_client(client)
    , m_view(std::move(view))
    , m_now(std::move(now))
{
}

asio::awaitable<void> CallRouter::run(wire::CallRequest request, ReplySink sink,
                                      Interrupt &interrupt)
{
    const Instant deadline = m_now() + kOwnerSearchTimeout;
    const ProgramId program(request.program_id());
    bool hasRelayed = false;
    bool mayHaveRun = false;
    Error lastError = noOwnerError(program.value());
    while (true) {
        const RoutingViewPtr view = m_view();
        const ShardOwner *const owner = view->ownerOf(program);
        if (owner != nullptr && (owner->isSelf || owner->address)) {
            Attempt attempt(sink, hasRelayed);
            if (owner->isSelf) {
                const ReplySink pass = [&attempt](wire::CallReply reply) {
                    return attempt.pass(std::move(reply));
                };
                co_await m_owner.runCall(request, pass, interrupt, m_client);
            } else {
                co_await runOnPeer(request, *owner->address, attempt, interrupt);
            }
            if (attempt.isFinished()) {
                co_return;
            }
            lastError = *attempt.error();
            mayHaveRun = mayHaveRun || !lastError.notRun();
            if (hasRelayed || !indicatesOwnerChange(lastError)) {
                break;
            }
        }
        if (interrupt.reason() || m_now() >= deadline) {
            break;
        }
        co_await pause();
    }
    if (interrupt.reason()) {
        lastError = *interrupt.reason();
    }
    (void)co_await sink(errorReply(errorForCaller(lastError, mayHaveRun)));
}

asio::awaitable<void> CallRouter::runOnPeer(const wire::CallRequest &request, Address peer,
                                            Attempt &attempt, Interrupt &interrupt)
{
    auto opened =
        co_await m_client.open(std::move(peer), "/call", request.SerializeAsString(), kPeerTimeout);
    if (!opened) {
        // A peer that cannot be reached may be dead: retry until another host owns the shard.
        const Error lost(ErrorKind::ConnectionLost, opened.error().message());
        attempt.fail(opened.error().notRun() ? lost.withNotRun() : lost);
        co_return;
    }
    const std::unique_ptr<transport::ClientStream> stream = std::move(opened.value());
    interrupt.onTriggered([raw = stream.get()](const Error &) { raw->cancel(); });
    while (!attempt.isFinished() && !attempt.error()) {
        auto next = co_await stream->next();
        wire::CallReply reply;
        if (!next) {
            attempt.fail(Error(ErrorKind::ConnectionLost, next.error().message()));
        } else if (!next.value() || !reply.ParseFromString(*next.value())) {
            attempt.fail(Error(ErrorKind::ConnectionLost, "the owner ended the stream early"));
        } else if (!co_await attempt.pass(std::move(reply))) {
            attempt.fail(Error(ErrorKind::Cancelled, "the caller is gone"));
        }
    }
    interrupt.reset();
}

asio::awaitable<wire::ProgramReply> CallRouter::runProgramRequest(wire::ProgramRequest request)
{
    const Instant deadline = m_now() + kOwnerSearchTimeout;
    const ProgramId program(request.program_id());
    wire::ProgramReply reply;
    do {
        const RoutingViewPtr view = m_view();
        const ShardOwner *const owner = view->ownerOf(program);
        const Error failure = noOwnerError(program.value());
        if (owner != nullptr && owner->isSelf) {
            reply = co_await m_owner.runProgramRequest(request);
        } else if (owner != nullptr && owner->address) {
            const Result<std::string> answer = co_await askPeer(
                m_client, *owner->address, "/program", request.SerializeAsString(), kPeerTimeout);
            if (!answer || !reply.ParseFromString(answer.value())) {
                reply.Clear();
                *reply.mutable_error() = wire::toReply(failure);
            }
        } else {
            *reply.mutable_error() = wire::toReply(failure);
        }
        const ErrorKind kind = wire::fromReply(reply.error()).kind();
        const bool isFinal =
            !reply.has_error() || (kind != ErrorKind::NotOwner && kind != ErrorKind::Unavailable);
        if (isFinal) {
            co_return reply;
        }
        co_await pause();
    } while (m_now() < deadline);
    co_return reply;
}

asio::awaitable<void> CallRouter::pause()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, kSearchInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace basilhall::entry
