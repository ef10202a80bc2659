#include "basilhall/gateway/stream_outputs.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/output_codec.h"
#include "basilhall/gateway/internal/peer_requests.h"
#include "basilhall/gateway/internal/route_choice.h"
#include "basilhall/transport/signal.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;
using resumption::StreamOutput;

namespace
{

// Time limit for another gateway to take events, which its caller waits for. A round trip takes a
// few milliseconds.
constexpr Duration kShareTimeout = std::chrono::milliseconds(100);
// Pause after a share that nobody took; events are passed on at once meanwhile.
constexpr Duration kUnansweredPause = std::chrono::seconds(1);
// Time limit for a gateway to state what a stream has said; it answers from memory.
constexpr Duration kSearchTimeout = std::chrono::milliseconds(150);
// The gateway that relayed the stream may reach the others again within this time.
constexpr Duration kUnknownOutputRetry = std::chrono::milliseconds(500);

// Requests of which some are unanswered.
struct Round {
    explicit Round(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    transport::Signal changed;
    std::size_t unanswered = 0;
    bool isTaken = false;
    bool isSuperseded = false;
    std::optional<StreamOutput> found;
};

Error unknownOutput(const std::string &reason)
{
    return Error(ErrorKind::Unavailable, "the turn cannot be continued: " + reason)
        .withNotRun()
        .withRetryAfter(kUnknownOutputRetry);
}

} // namespace

class StreamOutputs::Private : public std::enable_shared_from_this<StreamOutputs::Private>
{
public:
    Private(const asio::any_io_executor &e, FleetState &s, OutputPeers p, logging::Log l)
        : executor(e)
        , state(s)
        , peers(std::move(p))
        , log(std::move(l))
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    static asio::awaitable<std::optional<resumption::OutputVerdict>>
    sendPart(std::shared_ptr<Private> self, HostName peer, std::string part)
    {
        const auto request = self->peers.request;
        const auto message =
            co_await request(std::move(peer), kOutputMethod, std::move(part), kShareTimeout);
        wire::OutputReply reply;
        if (!message || !reply.ParseFromString(*message)) {
            co_return std::nullopt;
        }
        co_return fromWire(reply.verdict());
    }

    // Sends the new events to a gateway, and all of them if it lacks earlier ones.
    static asio::awaitable<void> tell(std::shared_ptr<Private> self, std::shared_ptr<Round> round,
                                      HostName peer, std::shared_ptr<const std::string> part,
                                      std::shared_ptr<const StreamOutput> output)
    {
        auto verdict = co_await sendPart(self, peer, *part);
        if (verdict == resumption::OutputVerdict::Gap) {
            verdict = co_await sendPart(self, peer, encodeOutput(*output, 0));
        }
        round->isTaken = round->isTaken || verdict == resumption::OutputVerdict::Accepted;
        round->isSuperseded =
            round->isSuperseded || verdict == resumption::OutputVerdict::Superseded;
        --round->unanswered;
        round->changed.notify();
    }

    static asio::awaitable<void> ask(std::shared_ptr<Private> self, std::shared_ptr<Round> round,
                                     HostName peer, CallId stream)
    {
        wire::SaidRequest request;
        request.set_stream(stream.value());
        const auto send = self->peers.request;
        std::string bytes = request.SerializeAsString();
        const auto message =
            co_await send(std::move(peer), kSaidMethod, std::move(bytes), kSearchTimeout);
        wire::SaidReply reply;
        if (message && reply.ParseFromString(*message) && reply.has_output()) {
            take(*round, fromWire(reply.output()));
        }
        --round->unanswered;
        round->changed.notify();
    }

    static void take(Round &round, StreamOutput output)
    {
        if (!round.found || output.isLaterThan(*round.found)
            || (!round.found->isLaterThan(output)
                && output.events.size() > round.found->events.size())) {
            round.found = std::move(output);
        }
    }

    // Asks all at once and waits for each, since one may not know of a later attempt.
    static asio::awaitable<std::optional<StreamOutput>> find(std::shared_ptr<Private> self,
                                                             CallId stream)
    {
        const auto round = std::make_shared<Round>(self->executor);
        if (const StreamOutput *known = self->state.outputs().find(stream)) {
            round->found = *known;
        }
        for (const HostName &peer : self->peers.asked(stream)) {
            ++round->unanswered;
            asio::co_spawn(self->executor, ask(self, round, peer, stream), asio::detached);
        }
        while (round->unanswered > 0) {
            co_await round->changed.wait();
        }
        co_return std::move(round->found);
    }

    static StreamOutput begin(const CallContext &context)
    {
        StreamOutput output;
        output.stream = context.call.id;
        output.team = teamOf(context);
        output.startedAt = MonotonicClock().wallMillis();
        output.attempt = context.call.id;
        output.keptUntil = continuableUntil(context);
        return output;
    }

    asio::any_io_executor executor;
    FleetState &state;
    OutputPeers peers;
    logging::Log log;
    // When events were last shared and nobody took them.
    std::optional<Instant> unansweredAt;
};

StreamOutputs::StreamOutputs(const asio::any_io_executor &executor, FleetState &state,
                             OutputPeers peers, logging::Log log)
    : d(std::make_shared<Private>(executor, state, std::move(peers), std::move(log)))
{
}

asio::awaitable<Result<void>> StreamOutputs::prepare(std::shared_ptr<CallContext> context)
{
    const auto self = d;
    if (!context->route->keepsTurns) {
        co_return success();
    }
    StreamOutput output = Private::begin(*context);
    const std::uint64_t last = context->call.lastEvent.value_or(0);
    if (last > 0) {
        if (context->call.continues.isEmpty()) {
            co_return unknownOutput("the attempt that began it is not named, so what it has said "
                                    "is unknown");
        }
        const auto found = co_await Private::find(self, context->call.continues);
        if (!found || found->team != output.team || !found->reaches(last)) {
            self->log.info("A kept turn cannot be continued.", Field("call", context->call.id),
                           Field("began_with", context->call.continues), Field("after_event", last),
                           Field("known", found.has_value()));
            co_return unknownOutput("no gateway knows what it has said");
        }
        output.stream = context->call.continues;
        output.continuation = found->continuation + 1;
        output.events = found->eventsUpTo(last);
        context->output = resumption::textOf(output.events);
    }
    if (context->route->isResumable) {
        context->said = std::make_shared<StreamOutput>(std::move(output));
    }
    co_return success();
}

asio::awaitable<void> StreamOutputs::share(std::shared_ptr<CallContext> context)
{
    const auto self = d;
    const std::shared_ptr<const StreamOutput> output = context->said;
    const wire::OutputPart news = toWire(*output, context->sharedEvents);
    context->isSuperseded = context->isSuperseded
        || self->state.outputs().add(fromWire(news), context->sharedEvents)
            == resumption::OutputVerdict::Superseded;
    context->sharedEvents = output->events.size();
    if (context->isSuperseded) {
        co_return;
    }
    const auto part = std::make_shared<const std::string>(news.SerializeAsString());
    const auto round = std::make_shared<Round>(self->executor);
    const std::vector<HostName> told = self->peers.keepers(output->stream, context->allowedRegions);
    for (const HostName &peer : told) {
        ++round->unanswered;
        asio::co_spawn(self->executor, Private::tell(self, round, peer, part, output),
                       asio::detached);
    }
    const Instant begin = Private::now();
    if (self->unansweredAt && begin - *self->unansweredAt < kUnansweredPause) {
        co_return;
    }
    while (round->unanswered > 0 && !round->isTaken && !round->isSuperseded) {
        co_await round->changed.wait();
    }
    context->isSuperseded = round->isSuperseded;
    if (!told.empty() && !round->isTaken && !round->isSuperseded) {
        self->unansweredAt = begin;
        self->log.info("No other gateway knows what a turn has said.",
                       Field("call", context->call.id), Field("events", output->events.size()));
    }
}

} // namespace basilhall::gateway
