// Serves the requests of callers: checks them, applies limits, sends each to an endpoint and
// forwards the answer.
//
//     Forwarder<Dialect> forwarder(client, state, keeper, askHome, origins, outputs, log, random);
//     http::Server server(executor, listen, limits,
//                         [&](auto exchange) { return forwarder.serve(std::move(exchange)); });
#pragma once

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/call_dialect.h"
#include "basilhall/gateway/event_splitter.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/answer_drain.h"
#include "basilhall/gateway/internal/buffered_bytes.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/internal/route_choice.h"
#include "basilhall/gateway/internal/team_admission.h"
#include "basilhall/gateway/refusal.h"
#include "basilhall/gateway/send_queue.h"
#include "basilhall/gateway/share_lender.h"
#include "basilhall/gateway/stream_continuer.h"
#include "basilhall/gateway/stream_outputs.h"
#include "basilhall/gateway/suspect_guard.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/hostload/program_admission.h"
#include "basilhall/http/client.h"
#include "basilhall/placement/program_admission.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <random>

namespace basilhall::gateway
{

// Not thread-safe: use from one executor. The references must outlive it.
template<CallDialect Dialect>
class Forwarder
{
public:
    // Requests admission from the home of a program; see PeerMesh::askHome.
    using AskHome =
        std::function<boost::asio::awaitable<Result<turns::Admission>>(turns::TurnBudget)>;

    Forwarder(http::Client &client, FleetState &state, TurnKeeper &keeper, AskHome askHome,
              StreamOrigins &origins, StreamOutputs &outputs, CallLog &log, std::mt19937_64 &random)
        : m_client(client)
        , m_state(state)
        , m_keeper(keeper)
        , m_askHome(std::move(askHome))
        , m_suspects(state, log)
        , m_continuer(client, state, origins, log)
        , m_outputs(outputs)
        , m_log(log)
        , m_random(random)
    {
    }

    // From now on, requests that lack a share of an endpoint's limit ask for loans. The lender must
    // outlive the forwarder.
    void setLender(ShareLender &lender) { m_lender = &lender; }

    boost::asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        const auto context = std::make_shared<CallContext>();
        context->exchange = exchange;
        context->arrivedAt = MonotonicClock().now();
        m_log.started();
        Result<void> prepared = prepare(*context);
        if (prepared) {
            watchCaller(context);
            prepared = co_await admitByTeam(m_state, context);
        }
        if (prepared) {
            if (context->route->kind == fleet::CallKind::Stream) {
                prepared = co_await serveStream(context);
            } else {
                prepared = co_await serveBuffered(context);
            }
        }
        if (!prepared && !context->hasResponseStarted && !context->isCallerGone) {
            (void)co_await exchange->respond(refusal(prepared.error()));
        }
        m_log.finished(*context, prepared);
    }

private:
    using Stream = std::unique_ptr<http::ResponseStream>;

    // Decodes and checks the request.
    Result<void> prepare(CallContext &context)
    {
        context.policy = m_state.policy();
        if (!context.policy) {
            return Error(ErrorKind::Unavailable, "the gateway has no configuration yet")
                .withNotRun()
                .withRetryAfter(kNoPolicyRetry);
        }
        BOOST_OUTCOME_TRY(context.call, Dialect::decodeCall(context.exchange->request()));
        BOOST_OUTCOME_TRY(resolveRoute(context));
        BOOST_OUTCOME_TRY(admitBeforeStop(context));
        BOOST_OUTCOME_TRY(restrictToRegions(context, m_state.regions()));
        BOOST_OUTCOME_TRY(admitByHostLoad(context));
        setRequestKeys(context);
        BOOST_OUTCOME_TRY(m_suspects.admit(context));
        return admitProgram(context);
    }

    // Refuses what could be cut off when this gateway stops. Other gateways can serve it at once.
    Result<void> admitBeforeStop(CallContext &context)
    {
        const std::optional<Instant> stopsAt = m_state.stopsAt();
        if (!stopsAt || context.deadline + kAnswerMargin <= *stopsAt) {
            return success();
        }
        m_log.notBeforeStop(context, *stopsAt - context.arrivedAt);
        return Error(ErrorKind::Unavailable,
                     "the gateway stops, and the request may take longer than that")
            .withNotRun()
            .withRetryAfter(kStoppingRetry);
    }

    // Refuses what this host cannot serve in time, before any work is done for it: requests with
    // too little time left, and first turns of programs while the host is late with its own work.
    // Turns that continue others are never refused.
    Result<void> admitByHostLoad(CallContext &context)
    {
        context.beginsProgram = beginsProgram(context);
        const Duration loopDelay = m_state.hostLoad().loopDelay();
        const Call &call = context.call;
        const std::uint64_t hash = std::hash<std::string>()(
            call.program.isEmpty() ? call.id.value() : call.program.value());
        const bool isTooLate = call.previousTurn.isEmpty()
            && context.deadline - context.arrivedAt < hostload::minServiceTime(loopDelay);
        const bool isRefused = isTooLate
            || (context.beginsProgram
                && hostload::refusesProgram(loopDelay, priorityOf(context), hash));
        if (!isRefused) {
            return success();
        }
        m_log.hostLate(context, m_state.hostLoad());
        return Error(ErrorKind::Overloaded,
                     isTooLate ? "the host is late; the request cannot be served in its time"
                               : "the host is late; no further program begins")
            .withNotRun()
            .withRetryAfter(hostload::retryAfter(loopDelay, hash));
    }

    // Refuses the first turn of a program while the engines are overloaded.
    Result<void> admitProgram(CallContext &context)
    {
        placement::ProgramStarts &starts = m_state.programStarts();
        if (!context.beginsProgram) {
            if (!context.call.program.isEmpty()) {
                starts.onRequest(context.work.service, context.arrivedAt);
            }
            return success();
        }
        const std::string &service = context.work.service;
        const auto occupancy = m_state.placement().occupancy(service, context.arrivedAt);
        const placement::EngineLoad load{occupancy.requests, occupancy.slots,
                                         m_state.placement().stretch(service)};
        const std::uint64_t hash = std::hash<std::string>()(context.call.program.value());
        if (!starts.admits(context.arrivedAt) || hasBacklog()) {
            m_log.limitedProgram(context, starts.perSecond());
            return Error(ErrorKind::Overloaded,
                         "the endpoints that programs need have reached their request limits; no "
                         "further program begins")
                .withNotRun()
                .withRetryAfter(overloadRetry(hash));
        }
        if (!placement::refusesProgram(load, priorityOf(context), hash)) {
            starts.onStart(context.arrivedAt);
            starts.onRequest(service, context.arrivedAt);
            return success();
        }
        m_log.overloaded(context, load);
        return Error(ErrorKind::Overloaded,
                     "service \"" + service + "\" is overloaded; no further program begins")
            .withNotRun()
            .withRetryAfter(overloadRetry(hash));
    }

    // True for the first turn of a program that this gateway does not know. The rest of a stream
    // begins no program: its first part has been paid for.
    bool beginsProgram(const CallContext &context) const
    {
        return !context.call.lastEvent && context.route->kind == fleet::CallKind::Stream
            && context.call.previousTurn.isEmpty()
            && !m_state.budgets().knows(context.call.program);
    }

    void watchCaller(const std::shared_ptr<CallContext> &context)
    {
        context->exchange->onClientGone([weak = std::weak_ptr<CallContext>(context)] {
            const auto alive = weak.lock();
            if (!alive) {
                return;
            }
            alive->isCallerGone = true;
            alive->cancellation->cancel();
            if (alive->cancelRead) {
                alive->cancelRead();
            }
        });
    }

    static Duration timeLeft(const CallContext &context)
    {
        return context.deadline - MonotonicClock().now();
    }

    Dispatch dispatchTo(const CallContext &context, const fleet::Endpoint &endpoint) const
    {
        Dispatch dispatch;
        dispatch.endpoint = endpoint;
        if (context.team != nullptr) {
            dispatch.team = context.team->name;
        }
        dispatch.timeLeft = timeLeft(context);
        if (context.route->kind == fleet::CallKind::Stream) {
            dispatch.priority = priorityOf(context);
        }
        dispatch.resumeAfter = context.lastEvent;
        return dispatch;
    }

    // Sends the request to endpoints until one accepts it, and returns the answer from its header
    // on. An error with notRun() guarantees that no endpoint has run or will run the request.
    boost::asio::awaitable<Result<Stream>> open(std::shared_ptr<CallContext> context)
    {
        while (true) {
            const Result<fleet::Endpoint> selected = co_await select(context);
            if (!selected) {
                co_return finalError(*context, selected.error());
            }
            // Others may have run it while it waited.
            const Result<suspects::Treatment> treatment = m_suspects.admit(*context);
            if (!treatment) {
                co_return finalError(*context, treatment.error());
            }
            m_suspects.enter(*context, selected.value().name, treatment.value());
            const fleet::Endpoint &endpoint = selected.value();
            auto answer = co_await sendTo(context, endpoint);
            if (answer) {
                co_return answer;
            }
            const bool mayRepeat = (answer.error().notRun() && context->sends < kMaxSends)
                || (fleet::isRepeatable(*context->route)
                    && context->runs < context->route->maxAttempts);
            if (!mayRepeat || context->isCallerGone) {
                co_return finalError(*context, answer.error());
            }
        }
    }

    // Chooses an endpoint. While all of them have reached the limit that they state, the request
    // waits for its turn or a loan, or is refused if that would take too long: at once, or when the
    // question for a loan that it could still be sent with has ended.
    boost::asio::awaitable<Result<fleet::Endpoint>> select(std::shared_ptr<CallContext> context)
    {
        const std::string &service = context->work.service;
        const SendRank rank = sendRank(*context);
        const Instant lastSendAt = latestSend(rank, MonotonicClock().now(), context->deadline);
        SendQueue::Place place;
        // Until when it waits for a loan although it would otherwise be refused.
        std::optional<Instant> loanUntil;
        while (true) {
            const Instant now = MonotonicClock().now();
            if (context->isCallerGone) {
                co_return Error(ErrorKind::Cancelled, "the caller disconnected");
            }
            if (now >= context->deadline) {
                co_return Error(ErrorKind::DeadlineExceeded,
                                "the deadline of the request has passed");
            }
            const std::size_t ahead = m_sendQueue.ahead(service, rank, place);
            const placement::Placement::Choice choice =
                choose(*context, now, {waitBehind(service, ahead, now), lastSendAt - now});
            const bool mayGo = choice.endpoint != nullptr && choice.wait == Duration::zero();
            const std::size_t waiting = m_sendQueue.size(service) + (place ? 0 : 1);
            const bool isAsking = m_lender != nullptr && choice.lacking != nullptr
                && m_lender->borrow(*choice.lacking, mayGo ? 0 : waiting, now);
            if (mayGo) {
                co_return *choice.endpoint;
            }
            const bool isLate = choice.endpoint == nullptr || now + choice.wait > lastSendAt;
            if (isLate && !loanUntil) {
                loanUntil = ahead < placement::kMaxLoan ? now + placement::kLoanTime : now;
            }
            if (isLate && (!isAsking || now >= std::min(*loanUntil, lastSendAt))) {
                if (choice.endpoint == nullptr) {
                    co_return noEndpoint(*context, m_state);
                }
                m_log.limited(*context, choice, ahead);
                co_return limitReached(*context, choice.wait);
            }
            if (!place) {
                place = m_sendQueue.enter(service, rank);
            }
            const Duration pause = isLate ? kMaxSendPause : std::min(choice.wait, kMaxSendPause);
            co_await pauseForLoan(m_lender, pause);
        }
    }

    // Keeps suspects apart from each other, and others away from likely causes of crashes, as long
    // as there is another endpoint.
    placement::Placement::Choice choose(CallContext &context, Instant now,
                                        const placement::Placement::Queueing &queueing)
    {
        const suspects::Treatment treatment = m_suspects.treatment(context, now);
        context.work.isSuspect = treatment == suspects::Treatment::Alone;
        std::set<EndpointName> avoided = m_suspects.avoided(treatment);
        // Beyond that, the cost of the detour exceeds its use.
        const bool isCrowded = !context.work.isSuspect && avoided.size() > kMaxAvoided;
        if (!avoided.empty() && !isCrowded) {
            avoided.insert(context.tried.begin(), context.tried.end());
            const placement::Placement::Choice choice =
                m_state.placement().choose(context.work, avoided, m_random(), now, queueing);
            if (choice.endpoint != nullptr && choice.wait == Duration::zero()) {
                return choice;
            }
        }
        return m_state.placement().choose(context.work, context.tried, m_random(), now, queueing);
    }

    // A program that begins needs several more requests, and the work of one that is cut off
    // halfway is wasted.
    SendRank sendRank(const CallContext &context) const
    {
        return context.call.program.isEmpty() || context.beginsProgram ? SendRank::Other
                                                                       : SendRank::BegunProgram;
    }

    // True if programs that have begun wait so long for the limits of endpoints that more programs
    // would only add to it.
    bool hasBacklog() const
    {
        const auto waiting = m_sendQueue.waiting(SendRank::BegunProgram);
        const placement::ProgramStarts::Rates &rates = m_state.programStarts().rates();
        return std::any_of(waiting.begin(), waiting.end(), [&](const auto &entry) {
            const auto rate = rates.find(entry.first);
            return rate != rates.end()
                && static_cast<double>(entry.second) > rate->second * kBacklogSeconds;
        });
    }

    // Time in which the limits let `ahead` requests be sent.
    Duration waitBehind(const std::string &service, std::size_t ahead, Instant now) const
    {
        const double rate = ahead == 0 ? 0 : m_state.placement().limitedRate(service, now);
        if (rate <= 0) {
            // Without a share, the requests before it are sent with loans.
            return m_lender == nullptr ? Duration::zero()
                                       : static_cast<Duration::rep>(ahead) * kMaxSendPause;
        }
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(static_cast<double>(ahead) / rate));
    }

    boost::asio::awaitable<Result<Stream>> sendTo(std::shared_ptr<CallContext> context,
                                                  fleet::Endpoint endpoint)
    {
        context->endpoint = endpoint.name;
        context->sentTo = endpoint;
        context->isRunBroken = false;
        ++context->sends;
        context->sentAt = MonotonicClock().now();
        context->sendConditions =
            m_state.placement().onSent(endpoint.name, context->work, context->sentAt);
        if (m_lender != nullptr) {
            m_lender->onSent(endpoint, context->sentAt);
        }
        if (const auto age = m_state.removedFor(endpoint.name, context->sentAt)) {
            m_log.sentToRemoved(*context, *age, m_state.endpointsCurrentAt());
        }
        if (context->lastEvent) {
            m_log.continued(*context, endpoint, m_state.endpointsCurrentAt());
        }
        http::RequestOptions options;
        options.cancellation = context->cancellation;
        options.connectTimeout = kEndpointConnectTimeout;
        // The answer to a request without an id can only be told by its connection.
        options.newConnection = context->call.id.isEmpty();
        options.ownerOf = [id = context->call.id](const http::Headers &headers) {
            const AnswerFacts facts = Dialect::answerFacts(0, headers);
            if (facts.call.isEmpty()) {
                return http::ResponseOwner::Unknown;
            }
            return facts.call == id ? http::ResponseOwner::ThisRequest
                                    : http::ResponseOwner::OtherRequest;
        };
        if (m_state.evacuations().isWatched()) {
            options.maySend = [this, endpoint] {
                return m_state.decideSend(endpoint, MonotonicClock().now()).isAllowed;
            };
        }
        http::Request request = Dialect::endpointRequest(
            context->exchange->request(), dispatchTo(*context, endpoint), context->body);
        auto answer = co_await m_client.open(endpoint.address, std::move(request),
                                             timeLeft(*context), std::move(options));
        if (!answer) {
            m_state.placement().onFinished(endpoint.name, context->work);
            noteFailure(*context, endpoint, answer.error());
            m_suspects.onError(*context, endpoint, answer.error());
            co_return answer.error();
        }
        const AnswerFacts facts =
            Dialect::answerFacts(answer.value()->status(), answer.value()->headers());
        // The sender of a misdirected answer is not this endpoint.
        if (facts.isLeaving && !facts.isMisdirected
            && m_state.markLeaving(endpoint, MonotonicClock().now())) {
            m_log.leaving(*context, endpoint);
        }
        noteLimit(*context, endpoint, facts);
        context->isSignedAnswer = facts.isSigned && !facts.isMisdirected;
        if (context->isSignedAnswer) {
            m_suspects.onAnswered(*context, endpoint);
        }
        if (facts.isNotRun || facts.isMisdirected) {
            m_state.placement().onFinished(endpoint.name, context->work);
            context->tried.insert(endpoint.name);
            if (facts.isMisdirected) {
                m_state.placement().suspend(endpoint.name,
                                            MonotonicClock().now() + kWrongEndpointPause);
            }
            context->suspectRun.reset();
            m_log.notRun(*context, answer.value()->status());
            co_await drainAnswer(*answer.value());
            co_return Error(ErrorKind::Overloaded,
                            "endpoint \"" + endpoint.name.value() + "\" refused the request")
                .withNotRun()
                .withRetryAfter(kRefusedRetry);
        }
        ++context->runs;
        context->connectedAt = answer.value()->connectedAt();
        if (!facts.isSigned && answer.value()->status() < kFirstErrorStatus) {
            m_state.placement().onFinished(endpoint.name, context->work);
            context->tried.insert(endpoint.name);
            m_log.failed(*context, Error(ErrorKind::EndpointFailed, "the answer has no signature"));
            co_return Error(ErrorKind::EndpointFailed,
                            "endpoint \"" + endpoint.name.value()
                                + "\" sent an answer without a signature");
        }
        co_return answer;
    }

    void noteLimit(const CallContext &context, const fleet::Endpoint &endpoint,
                   const AnswerFacts &facts)
    {
        if (facts.isLimitMalformed) {
            m_log.limitMalformed(context, endpoint);
            return;
        }
        // An endpoint in need may refuse or fail requests without stating its limit again.
        const bool isStatement = facts.requestLimit || facts.isSigned;
        if (isStatement && !facts.isMisdirected
            && m_state.placement().limits().onAnswer(endpoint, facts.requestLimit,
                                                     MonotonicClock().now())) {
            m_log.limitChanged(context, endpoint, facts.requestLimit);
        }
    }

    // Reports an attempt that the endpoint did not complete, unless the caller ended it.
    void reportFailure(const CallContext &context, const EndpointName &endpoint, bool isLost)
    {
        if (!context.isCallerGone) {
            m_state.placement().onFailed(endpoint, MonotonicClock().now(), isLost);
        }
    }

    void noteFailure(CallContext &context, const fleet::Endpoint &endpoint, const Error &error)
    {
        context.tried.insert(endpoint.name);
        // Nothing was sent by the decision of this gateway, so the endpoint has not failed.
        if (error.kind() == ErrorKind::Overloaded) {
            m_log.notSent(context, m_state.decideSend(endpoint, MonotonicClock().now()));
            return;
        }
        reportFailure(context, endpoint.name, isConnectionLost(error));
        if (error.notRun()) {
            m_state.placement().suspend(endpoint.name, MonotonicClock().now() + kUnreachablePause);
        } else {
            ++context.runs;
        }
        m_log.failed(context, error);
    }

    boost::asio::awaitable<Result<void>> serveBuffered(std::shared_ptr<CallContext> context)
    {
        context->body = context->exchange->request().body;
        while (true) {
            auto answer = co_await open(context);
            if (!answer) {
                refundIfNotRun(*context, answer.error());
                co_return answer.error();
            }
            auto response = co_await readResponse(context, *answer.value());
            m_state.placement().onFinished(context->endpoint, context->work);
            if (response) {
                m_suspects.onCompleted(*context);
                m_state.placement().onAnswered(context->endpoint, context->sendConditions, {},
                                               MonotonicClock().now());
                context->hasResponseStarted = true;
                co_return co_await context->exchange->respond(std::move(response).value());
            }
            context->tried.insert(context->endpoint);
            reportFailure(*context, context->endpoint, context->isRunBroken);
            m_log.failed(*context, response.error());
            noteEndOfRun(*context);
            if (!fleet::isRepeatable(*context->route) || context->isCallerGone
                || context->runs >= context->route->maxAttempts) {
                co_return response.error();
            }
        }
    }

    // The answer had begun and did not become complete.
    void noteEndOfRun(CallContext &context)
    {
        if (context.isRunBroken) {
            m_suspects.onBroken(context, context.sentTo);
        }
        context.suspectRun.reset();
    }

    void refundIfNotRun(const CallContext &context, const Error &error)
    {
        if (error.notRun() && context.team != nullptr) {
            m_state.refund(context.team->name, context.arrivedAt, MonotonicClock().now());
        }
    }

    // Reads a complete answer before the deadline.
    boost::asio::awaitable<Result<http::Response>>
    readResponse(std::shared_ptr<CallContext> context, http::ResponseStream &stream)
    {
        http::Response response;
        response.status = stream.status();
        response.headers = Dialect::callerHeaders(stream.headers());
        BufferedBytes buffered(m_bufferedBytes);
        context->cancelRead = [&stream] { stream.cancel(); };
        while (true) {
            const auto part = co_await stream.read(std::max(timeLeft(*context), Duration::zero()));
            if (!part || !part.value()) {
                context->cancelRead = nullptr;
                if (!part) {
                    context->isRunBroken = part.error().kind() == ErrorKind::ConnectionLost;
                    co_return part.error();
                }
                co_return response;
            }
            response.body += *part.value();
            buffered.set(response.body.capacity());
            if (response.body.size() > kMaxAnswerBytes || m_bufferedBytes > kMaxBufferedBytes) {
                context->cancelRead = nullptr;
                co_return Error(ErrorKind::EndpointFailed,
                                "the answer of endpoint \"" + context->endpoint.value()
                                    + "\" is too long to buffer");
            }
        }
    }

    boost::asio::awaitable<Result<void>> serveStream(std::shared_ptr<CallContext> context)
    {
        Result<void> ready = co_await m_continuer.prepare(context);
        if (ready) {
            ready = co_await m_outputs.prepare(context);
        }
        if (ready) {
            ready = co_await prepareTurn(context);
        }
        if (!ready) {
            refundIfNotRun(*context, ready.error());
            co_return ready.error();
        }
        const Result<void> done = co_await runTurn(context);
        settleBudget(*context);
        if (!done && !context->hasResponseStarted) {
            refundIfNotRun(*context, done.error());
        }
        if (!done && context->hasResponseStarted) {
            // An incomplete answer must not look complete to the caller.
            context->exchange->abort();
        }
        co_return done;
    }

    // Builds the prompt of a kept turn and reserves its maximum tokens in the budget of the
    // program.
    boost::asio::awaitable<Result<void>> prepareTurn(std::shared_ptr<CallContext> context)
    {
        const std::string &input = context->exchange->request().body;
        const bool needsState = context->route->keepsTurns || context->call.tokenBudget;
        if (needsState && !m_keeper.isLoaded()) {
            co_return Error(ErrorKind::Unavailable,
                            "the gateway is still loading the kept turns and budgets")
                .withNotRun()
                .withRetryAfter(kNotLoadedRetry);
        }
        if (!context->route->keepsTurns) {
            context->body = input;
        } else {
            if (!m_keeper.canPersist()) {
                co_return Error(ErrorKind::StoreUnavailable,
                                "turns cannot be kept: neither store nor peers accept records")
                    .withNotRun()
                    .withRetryAfter(kStoreRetry);
            }
            if (!m_keeper.acceptsTurns()) {
                co_return Error(ErrorKind::Overloaded,
                                "too many turns that have ended wait until the store accepts their "
                                "records")
                    .withNotRun()
                    .withRetryAfter(kStoreRetry);
            }
            auto prompt =
                co_await m_keeper.prompt(context->call.previousTurn, teamOf(*context), input);
            if (!prompt) {
                co_return prompt.error();
            }
            context->body = std::move(prompt).value();
            const auto allowed = restrictToPrevious(*context, m_state.turns(), m_state.regions());
            if (!allowed) {
                co_return allowed;
            }
        }
        co_return co_await reserveBudget(context);
    }

    boost::asio::awaitable<Result<void>> reserveBudget(std::shared_ptr<CallContext> context)
    {
        const Call &call = context->call;
        if (!call.tokenBudget || call.program.isEmpty()) {
            co_return success();
        }
        turns::TurnBudget turn;
        turn.program = call.program;
        turn.team = teamOf(*context);
        turn.budget = *call.tokenBudget;
        turn.maxTokens = call.maxOutputTokens;
        for (std::uint32_t round = 0; round < kAdmissionRounds; ++round) {
            turns::Admission admission = m_state.budgets().admit(turn, MonotonicClock().now());
            if (admission == turns::Admission::Elsewhere
                || admission == turns::Admission::Orphaned) {
                const auto asked = co_await m_askHome(turn);
                if (!asked) {
                    break;
                }
                admission = asked.value();
                if (admission == turns::Admission::Admitted) {
                    m_state.budgets().onGranted(turn, MonotonicClock().now());
                }
            }
            if (admission == turns::Admission::Admitted) {
                context->hasReservation = true;
                const bool isRecorded = co_await recordReservation(context);
                if (!isRecorded) {
                    break;
                }
                co_return success();
            }
            if (admission == turns::Admission::Exhausted) {
                co_return Error(ErrorKind::BudgetExceeded,
                                "program \"" + call.program.value()
                                    + "\" has too few tokens left in its budget for this turn")
                    .withNotRun();
            }
            if (admission == turns::Admission::NeedsRecord) {
                const Result<void> covered = co_await m_keeper.cover(call.program, kCoverTimeout);
                if (!covered) {
                    break;
                }
            }
        }
        co_return Error(ErrorKind::StoreUnavailable, "the budget of the program cannot be checked")
            .withNotRun()
            .withRetryAfter(kStoreRetry);
    }

    // Makes the reservation durable, in the background unless the turn may not run before. Releases
    // it and returns false if that is not possible in time.
    boost::asio::awaitable<bool> recordReservation(std::shared_ptr<CallContext> context)
    {
        const ProgramId &program = context->call.program;
        turns::BudgetLedger &budgets = m_state.budgets();
        if (budgets.home(program) != m_state.self()) {
            co_return true;
        }
        context->coverNumber = budgets.changeNumber(program);
        if (!budgets.mustRecordBeforeRun(program)) {
            m_keeper.coverSoon(program);
            co_return true;
        }
        const Result<void> recorded = co_await m_keeper.cover(program, kCoverTimeout);
        if (!recorded) {
            context->hasReservation = false;
            budgets.settle(program, context->call.maxOutputTokens, 0, MonotonicClock().now());
        }
        co_return recorded.has_value();
    }

    // Waits until the spending of the turn is durable or known to another holder, so that no
    // answered turn is forgotten with its home. The record is written while the turn runs; only
    // short turns wait.
    boost::asio::awaitable<void> awaitCover(std::shared_ptr<CallContext> context)
    {
        const ProgramId &program = context->call.program;
        if (!context->hasReservation
            || m_state.budgets().isCovered(program, context->coverNumber)) {
            co_return;
        }
        const Duration left = std::max(timeLeft(*context), Duration::zero());
        const Result<void> covered =
            co_await m_keeper.coverEnd(program, std::min(left, kEndCoverTimeout));
        if (!covered) {
            m_log.notCovered(*context, covered.error());
        }
    }

    void settleBudget(const CallContext &context)
    {
        if (context.hasReservation) {
            m_state.budgets().settle(context.call.program, context.call.maxOutputTokens,
                                     tokensOf(context), MonotonicClock().now());
        }
    }

    boost::asio::awaitable<Result<void>> runTurn(std::shared_ptr<CallContext> context)
    {
        context->lastEvent = context->call.lastEvent;
        while (true) {
            auto answer = co_await open(context);
            if (!answer) {
                co_return answer.error();
            }
            const EndpointName endpoint = context->endpoint;
            const Result<void> forwarded = co_await forwardAnswer(context, *answer.value());
            answer.value().reset();
            m_state.placement().onFinished(endpoint, context->work);
            if (forwarded) {
                m_suspects.onCompleted(*context);
                reportTurn(*context, endpoint);
                co_return co_await endTurn(context);
            }
            context->tried.insert(endpoint);
            reportFailure(*context, endpoint, context->isRunBroken);
            m_log.failed(*context, forwarded.error());
            noteEndOfRun(*context);
            if (!m_state.hasEndpoint(endpoint)) {
                // A run on an endpoint that has been removed does not count as an attempt.
                --context->runs;
            }
            if (!context->route->isResumable || context->isCallerGone
                || context->runs >= context->route->maxAttempts) {
                co_return forwarded.error();
            }
            const bool isKnown = co_await m_continuer.isVersionKnown(context);
            if (!isKnown) {
                co_return forwarded.error();
            }
        }
    }

    // Reports the timing of a complete turn. A turn that went on at another endpoint says nothing
    // about the time to the first event of the last one.
    void reportTurn(const CallContext &context, const EndpointName &endpoint)
    {
        if (!context.firstEventAt || context.isFailureAnswer
            || *context.firstEventAt < context.sentAt) {
            return;
        }
        const Instant now = MonotonicClock().now();
        const placement::AnswerTiming timing{*context.firstEventAt - context.sentAt,
                                             now - *context.firstEventAt, context.events};
        m_state.placement().onAnswered(endpoint, context.sendConditions, timing, now);
    }

    // Forwards the complete events of one run.
    boost::asio::awaitable<Result<void>> forwardAnswer(std::shared_ptr<CallContext> context,
                                                       http::ResponseStream &stream)
    {
        if (stream.status() != kOk) {
            co_return co_await forwardFailure(context, stream);
        }
        const Result<void> checked = co_await m_continuer.checkProcess(context);
        if (!checked) {
            co_return checked.error();
        }
        EventSplitter splitter;
        BufferedBytes buffered(m_bufferedBytes);
        context->cancelRead = [&stream] { stream.cancel(); };
        while (true) {
            const auto part = co_await stream.read(std::max(timeLeft(*context), Duration::zero()));
            if (!part) {
                context->cancelRead = nullptr;
                context->isRunBroken = part.error().kind() == ErrorKind::ConnectionLost;
                co_return part.error();
            }
            if (!part.value()) {
                context->cancelRead = nullptr;
                break;
            }
            splitter.feed(*part.value());
            const Result<void> written = co_await writeEvents(context, splitter, stream);
            if (!written) {
                context->cancelRead = nullptr;
                co_return written.error();
            }
            // A read with data at hand succeeds even if no time is left.
            if (timeLeft(*context) <= Duration::zero()) {
                context->cancelRead = nullptr;
                co_return Error(ErrorKind::DeadlineExceeded,
                                "the stream goes on after the deadline of the request");
            }
            if (context->output.size() > kMaxAnswerBytes) {
                context->cancelRead = nullptr;
                co_return Error(ErrorKind::EndpointFailed, "the stream is too long to keep");
            }
            if (splitter.partialBytes() > kMaxEventBytes) {
                context->cancelRead = nullptr;
                co_return Error(ErrorKind::EndpointFailed, "the stream has an event without end");
            }
            buffered.set(splitter.heldBytes() + context->output.capacity()
                         + (context->said ? context->said->bytes() : 0));
            if (m_bufferedBytes > kMaxBufferedBytes) {
                context->cancelRead = nullptr;
                co_return Error(ErrorKind::EndpointFailed,
                                "the answers of endpoints hold too much memory to read on");
            }
        }
        if (splitter.hasPartialEvent()) {
            context->isRunBroken = true;
            co_return Error(ErrorKind::EndpointFailed,
                            "the stream ended in the middle of an event");
        }
        if (!context->hasResponseStarted) {
            co_return co_await begin(context, stream);
        }
        co_return success();
    }

    boost::asio::awaitable<Result<void>> begin(std::shared_ptr<CallContext> context,
                                               http::ResponseStream &stream)
    {
        context->hasResponseStarted = true;
        co_return co_await context->exchange->beginStream(stream.status(),
                                                          Dialect::callerHeaders(stream.headers()));
    }

    boost::asio::awaitable<Result<void>> writeEvents(std::shared_ptr<CallContext> context,
                                                     EventSplitter &splitter,
                                                     http::ResponseStream &stream)
    {
        std::string text;
        bool hasSaid = false;
        while (auto event = splitter.next()) {
            if (event->id && context->lastEvent && *event->id <= *context->lastEvent) {
                continue;
            }
            text += event->text;
            if (context->events++ == 0) {
                m_continuer.onFirstEvent(context);
            }
            if (event->id) {
                context->lastEvent = event->id;
            }
            if (context->route->keepsTurns) {
                context->output += event->data;
            }
            if (context->said) {
                context->said->events.push_back(
                    {context->lastEvent.value_or(0), std::move(event->data)});
                hasSaid = true;
            }
        }
        if (text.empty()) {
            co_return success();
        }
        if (hasSaid) {
            // The caller may continue the turn elsewhere after any event that it has received.
            co_await m_outputs.share(context);
        }
        if (!context->hasResponseStarted) {
            const Result<void> begun = co_await begin(context, stream);
            if (!begun) {
                co_return begun;
            }
        }
        if (!context->firstEventAt) {
            context->firstEventAt = MonotonicClock().now();
        }
        co_return co_await context->exchange->write(std::move(text));
    }

    // Forwards an answer with an error status, which the endpoint sends instead of a stream.
    boost::asio::awaitable<Result<void>> forwardFailure(std::shared_ptr<CallContext> context,
                                                        http::ResponseStream &stream)
    {
        if (context->hasResponseStarted) {
            co_return Error(ErrorKind::EndpointFailed,
                            "the endpoint answered the resumed stream with an error");
        }
        auto response = co_await readResponse(context, stream);
        if (!response) {
            co_return response.error();
        }
        context->hasResponseStarted = true;
        context->isFailureAnswer = true;
        co_return co_await context->exchange->respond(std::move(response).value());
    }

    // Makes a kept turn durable before the end of the stream is sent.
    boost::asio::awaitable<Result<void>> endTurn(std::shared_ptr<CallContext> context)
    {
        if (context->isFailureAnswer) {
            co_return success();
        }
        // The prompt is not sent again, and the end of the turn may wait for long.
        context->body = std::string();
        co_await awaitCover(context);
        settleBudget(*context);
        context->hasReservation = false;
        if (context->route->keepsTurns) {
            const Duration left = std::max(timeLeft(*context), Duration::zero());
            const Result<void> kept = co_await m_keeper.keep(takeKeptTurn(*context), left);
            if (!kept) {
                co_return kept;
            }
        }
        co_return co_await context->exchange->endStream();
    }

    http::Client &m_client;
    FleetState &m_state;
    TurnKeeper &m_keeper;
    AskHome m_askHome;
    SuspectGuard m_suspects;
    StreamContinuer<Dialect> m_continuer;
    StreamOutputs &m_outputs;
    CallLog &m_log;
    std::mt19937_64 &m_random;
    SendQueue m_sendQueue;
    ShareLender *m_lender = nullptr;
    std::size_t m_bufferedBytes = 0;
};

} // namespace basilhall::gateway
