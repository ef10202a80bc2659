#include "basilhall/entry/peer_service.h"

#include "basilhall/entry/control_thread.h"
#include "basilhall/entry/interrupt.h"

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

template<typename Reply>
asio::awaitable<void> sendSingleReply(transport::ServerStream &stream, const Reply &reply)
{
    const Result<void> sent = co_await stream.send(reply.SerializeAsString());
    if (sent) {
        (void)co_await stream.finish();
    }
}

} // namespace

PeerService::PeerService(asio::any_io_executor control, OwnerDriver &owner, LimitGate &limits,
                         transport::StreamClient &client, ControlHandlers handlers)
    : m_control(std::move(control))
    , m_owner(owner)
    , m_limits(limits)
    , m_client(client)
    , m_handlers(std::move(handlers))
{
}

// Resets the stream if the request cannot be parsed or the method is unknown.
asio::awaitable<void> PeerService::handle(std::shared_ptr<transport::ServerStream> stream)
{
    const std::string &method = stream->method();
    if (method == "/call") {
        co_await handleCall(*stream);
    } else if (method == "/manifest") {
        co_await handleManifest(*stream);
    } else if (method == "/program") {
        wire::ProgramRequest request;
        if (request.ParseFromString(stream->request())) {
            co_await sendSingleReply(*stream,
                                     co_await m_owner.runProgramRequest(std::move(request)));
        }
    } else if (method == "/acquire") {
        wire::AcquireRequest request;
        if (request.ParseFromString(stream->request())) {
            const auto handler = [this, &request] { return m_limits.handleAcquire(request); };
            co_await sendSingleReply(*stream, co_await runOnControlThread(m_control, handler));
        }
    } else if (method == "/ping") {
        wire::PingRequest request;
        if (request.ParseFromString(stream->request())) {
            const auto handler = [this, &request] { return m_handlers.ping(request); };
            co_await sendSingleReply(*stream, co_await runOnControlThread(m_control, handler));
        }
    }
}

asio::awaitable<void> PeerService::handleCall(transport::ServerStream &stream)
{
    wire::CallRequest request;
    if (!request.ParseFromString(stream.request())) {
        co_return;
    }
    Interrupt interrupt;
    stream.onCancelled(
        [&interrupt] { interrupt.trigger(Error(ErrorKind::Cancelled, "the caller is gone")); });
    const ReplySink sink = [&stream](wire::CallReply reply) -> asio::awaitable<Result<void>> {
        return stream.send(reply.SerializeAsString());
    };
    co_await m_owner.runCall(std::move(request), sink, interrupt, m_client);
    stream.onCancelled([] {});
    (void)co_await stream.finish();
}

asio::awaitable<void> PeerService::handleManifest(transport::ServerStream &stream)
{
    wire::ManifestRequest request;
    if (!request.ParseFromString(stream.request())) {
        co_return;
    }
    const auto handler = [this, &request] { return m_handlers.manifest(request); };
    const std::vector<wire::ManifestPart> parts = co_await runOnControlThread(m_control, handler);
    for (const wire::ManifestPart &part : parts) {
        const Result<void> sent = co_await stream.send(part.SerializeAsString());
        if (!sent) {
            co_return;
        }
    }
    (void)co_await stream.finish();
}

} // namespace basilhall::entry
