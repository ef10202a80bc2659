#include "basilhall/entry/owner_driver.h"

#include "basilhall/entry/agent_directory.h"
#include "basilhall/entry/ask_peer.h"
#include "basilhall/entry/call_session.h"
#include "basilhall/entry/control_thread.h"
#include "basilhall/wire/error_codec.h"

#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <unordered_map>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kAgentTimeout = std::chrono::seconds(2);

using SessionPtr = std::shared_ptr<CallSession>;

wire::CallReply startedReply(const wire::CallStarted &started)
{
    wire::CallReply reply;
    *reply.mutable_started() = started;
    return reply;
}

wire::CallReply finalReply(const SessionMessage &message)
{
    wire::CallReply reply;
    if (const auto *finished = std::get_if<wire::CallFinished>(&message)) {
        *reply.mutable_finished() = *finished;
    } else {
        *reply.mutable_error() = wire::toReply(std::get<Error>(message));
    }
    return reply;
}

} // namespace

class OwnerDriver::Private : public std::enable_shared_from_this<OwnerDriver::Private>
{
public:
    Private(asio::any_io_executor controlExecutor, owner::Owner &ownerOfHost,
            AgentDirectory &directory, transport::StreamClient &client,
            std::function<Instant()> clock, std::function<void()> wakeLoop)
        : control(std::move(controlExecutor))
        , owner(ownerOfHost)
        , agents(directory)
        , controlClient(client)
        , now(std::move(clock))
        , wake(std::move(wakeLoop))
    {
    }

    // Runs `event` on the control thread, then wakes the control loop.
    template<typename Event>
    void postEvent(Event event)
    {
        asio::post(control, [self = shared_from_this(), event = std::move(event)]() mutable {
            event(self->owner, self->now());
            self->wake();
        });
    }

    void perform(owner::DispatchCall &action);
    void perform(owner::CancelDispatch &action);
    void perform(owner::ResolveCall &action);
    void perform(owner::ReleaseProgram &action);
    void perform(owner::ReplyStarted &action);
    void perform(owner::ReplyFinished &action);
    void perform(owner::ReplyError &action);
    void sendFinalMessage(owner::CallTicket ticket, SessionMessage message);
    void reportDispatchEnd(const std::string &dispatchId, Result<wire::Answer> result);

    static asio::awaitable<void> runDispatch(std::shared_ptr<Private> self, SessionPtr session,
                                             Address agent, wire::DispatchRequest request);
    asio::awaitable<Result<wire::Answer>> streamDispatch(SessionPtr session, Address agent,
                                                         const wire::DispatchRequest &request);
    static asio::awaitable<void> runResolve(std::shared_ptr<Private> self,
                                            owner::ResolveCall action);
    static asio::awaitable<void> runRelease(std::shared_ptr<Private> self,
                                            owner::ReleaseProgram action);

    const asio::any_io_executor control;
    owner::Owner &owner;
    AgentDirectory &agents;
    transport::StreamClient &controlClient;
    const std::function<Instant()> now;
    const std::function<void()> wake;
    std::atomic<owner::CallTicket> lastTicket = 0;
    // Control thread only.
    std::unordered_map<owner::CallTicket, SessionPtr> sessions;
    std::unordered_map<std::string, SessionPtr> dispatches;
};

OwnerDriver::OwnerDriver(asio::any_io_executor control, owner::Owner &owner, AgentDirectory &agents,
                         transport::StreamClient &controlClient, std::function<Instant()> now,
                         std::function<void()> wake)
    : d(std::make_shared<Private>(std::move(control), owner, agents, controlClient, std::move(now),
                                  std::move(wake)))
{
}

OwnerDriver::~OwnerDriver() = default;

void OwnerDriver::pump()
{
    for (owner::Action &action : d->owner.takeActions()) {
        std::visit([this](auto &each) { d->perform(each); }, action);
    }
}

asio::awaitable<void> OwnerDriver::runCall(wire::CallRequest request, ReplySink sink,
                                           Interrupt &interrupt, transport::StreamClient &client)
{
    const auto self = d;
    const auto executor = co_await asio::this_coro::executor;
    const auto session = std::make_shared<CallSession>(executor, client, std::move(sink));
    const owner::CallTicket ticket = ++self->lastTicket;
    self->postEvent([self, session, ticket, request = std::move(request)](owner::Owner &owner,
                                                                          Instant now) mutable {
        self->sessions.emplace(ticket, session);
        owner.callArrived(ticket, std::move(request), now);
    });
    interrupt.onTriggered([self, ticket](const Error &) {
        self->postEvent(
            [ticket](owner::Owner &owner, Instant now) { owner.callerGone(ticket, now); });
    });
    while (true) {
        const SessionMessage message = co_await session->mailbox.take();
        if (const auto *started = std::get_if<wire::CallStarted>(&message)) {
            (void)co_await session->sink(startedReply(*started));
            continue;
        }
        session->isClosed = true;
        interrupt.reset();
        while (session->isWriting) {
            (void)co_await session->mailbox.take();
        }
        (void)co_await session->sink(finalReply(message));
        co_return;
    }
}

asio::awaitable<wire::ProgramReply> OwnerDriver::runProgramRequest(wire::ProgramRequest request)
{
    const auto self = d;
    const auto runAction = [self, &request]() -> Result<std::string> {
        switch (request.action()) {
        case wire::ProgramRequest::ACTION_HISTORY:
            return self->owner.programHistory(request);
        case wire::ProgramRequest::ACTION_END: {
            BOOST_OUTCOME_TRY(self->owner.endProgram(request, self->now()));
            self->wake();
            return self->owner.programStatus(request);
        }
        default:
            return self->owner.programStatus(request);
        }
    };
    const Result<std::string> document = co_await runOnControlThread(self->control, runAction);
    wire::ProgramReply reply;
    if (document) {
        reply.set_document(document.value());
    } else {
        *reply.mutable_error() = wire::toReply(document.error());
    }
    co_return reply;
}

void OwnerDriver::Private::perform(owner::DispatchCall &action)
{
    const auto session = sessions.find(action.ticket);
    if (session == sessions.end()) {
        // The session has ended, so nobody would read the stream of the dispatch.
        reportDispatchEnd(action.request.call_id(),
                          Error(ErrorKind::Cancelled, "the caller is gone").withNotRun());
        return;
    }
    dispatches.emplace(action.request.call_id(), session->second);
    agents.dispatchSent(action.endpoint, action.request, now());
    asio::co_spawn(
        session->second->executor,
        runDispatch(shared_from_this(), session->second, action.agent, std::move(action.request)),
        asio::detached);
}

void OwnerDriver::Private::perform(owner::CancelDispatch &action)
{
    const auto found = dispatches.find(action.dispatchId);
    if (found == dispatches.end()) {
        return;
    }
    const SessionPtr session = found->second;
    asio::post(session->executor, [session] {
        session->isDispatchCancelled = true;
        if (session->dispatch) {
            session->dispatch->cancel();
        }
    });
}

void OwnerDriver::Private::perform(owner::ResolveCall &action)
{
    asio::co_spawn(control, runResolve(shared_from_this(), std::move(action)), asio::detached);
}

void OwnerDriver::Private::perform(owner::ReleaseProgram &action)
{
    asio::co_spawn(control, runRelease(shared_from_this(), std::move(action)), asio::detached);
}

void OwnerDriver::Private::perform(owner::ReplyStarted &action)
{
    if (const auto found = sessions.find(action.ticket); found != sessions.end()) {
        found->second->mailbox.put(std::move(action.started));
    }
}

void OwnerDriver::Private::perform(owner::ReplyFinished &action)
{
    sendFinalMessage(action.ticket, std::move(action.finished));
}

void OwnerDriver::Private::perform(owner::ReplyError &action)
{
    sendFinalMessage(action.ticket, std::move(action.error));
}

void OwnerDriver::Private::sendFinalMessage(owner::CallTicket ticket, SessionMessage message)
{
    const auto found = sessions.find(ticket);
    if (found == sessions.end()) {
        return;
    }
    found->second->mailbox.put(std::move(message));
    sessions.erase(found);
}

void OwnerDriver::Private::reportDispatchEnd(const std::string &dispatchId,
                                             Result<wire::Answer> result)
{
    postEvent([self = shared_from_this(), dispatchId, result](owner::Owner &owner, Instant now) {
        self->dispatches.erase(dispatchId);
        self->agents.dispatchEnded(dispatchId, result);
        owner.dispatchEnded(dispatchId, result, now);
    });
}

asio::awaitable<void> OwnerDriver::Private::runDispatch(std::shared_ptr<Private> self,
                                                        SessionPtr session, Address agent,
                                                        wire::DispatchRequest request)
{
    Result<wire::Answer> result = co_await self->streamDispatch(session, std::move(agent), request);
    session->dispatch.reset();
    self->reportDispatchEnd(request.call_id(), std::move(result));
}

asio::awaitable<Result<wire::Answer>>
OwnerDriver::Private::streamDispatch(SessionPtr session, Address agent,
                                     const wire::DispatchRequest &request)
{
    auto opened = co_await session->client.open(std::move(agent), "/dispatch",
                                                request.SerializeAsString(), kAgentTimeout);
    if (!opened) {
        co_return opened.error();
    }
    session->dispatch = std::move(opened.value());
    if (session->isDispatchCancelled) {
        session->dispatch->cancel();
    }
    bool hasStreamed = false;
    while (true) {
        auto next = co_await session->dispatch->next();
        if (!next) {
            co_return next.error();
        }
        if (!next.value()) {
            co_return Error(ErrorKind::ConnectionLost, "the agent ended the stream early");
        }
        wire::DispatchReply reply;
        if (!reply.ParseFromString(*next.value())) {
            co_return Error(ErrorKind::ConnectionLost, "the agent sent a malformed reply");
        }
        if (reply.has_error()) {
            co_return wire::fromReply(reply.error());
        }
        if (reply.has_finished()) {
            co_return std::move(*reply.mutable_finished());
        }
        if (reply.event_case() != wire::DispatchReply::kChunk || session->isClosed) {
            continue;
        }
        if (!hasStreamed) {
            hasStreamed = true;
            postEvent([id = request.call_id()](owner::Owner &owner, Instant) {
                owner.dispatchStreamed(id);
            });
        }
        wire::CallReply chunk;
        chunk.set_chunk(std::move(*reply.mutable_chunk()));
        session->isWriting = true;
        (void)co_await session->sink(std::move(chunk));
        session->isWriting = false;
        if (session->isClosed) {
            session->mailbox.put(ChunkWritten());
        }
    }
}

asio::awaitable<void> OwnerDriver::Private::runResolve(std::shared_ptr<Private> self,
                                                       owner::ResolveCall action)
{
    const std::string dispatchId = action.request.call_id();
    const Result<std::string> answer =
        co_await askPeer(self->controlClient, action.agent, "/resolve",
                         action.request.SerializeAsString(), kAgentTimeout);
    Result<wire::ResolveReply> reply = wire::ResolveReply();
    if (!answer) {
        reply = answer.error();
    } else if (!reply.value().ParseFromString(answer.value())) {
        reply = Error(ErrorKind::ConnectionLost, "the agent sent a malformed reply");
    }
    self->owner.resolved(dispatchId, reply, self->now());
    self->wake();
}

asio::awaitable<void> OwnerDriver::Private::runRelease(std::shared_ptr<Private> self,
                                                       owner::ReleaseProgram action)
{
    // A lost release is repeated when the agent next reports the program as cached.
    (void)co_await askPeer(self->controlClient, action.agent, "/release",
                           action.request.SerializeAsString(), kAgentTimeout);
}

} // namespace basilhall::entry
