#include "basilhall/agent/traffic.h"

#include "basilhall/agent/control.h"
#include "basilhall/agent/dispatch_stream.h"
#include "basilhall/agent/endpoint_monitor.h"
#include "basilhall/agent/engine_call.h"
#include "basilhall/agent/internal/resolve_reply.h"
#include "basilhall/agent/load_report_publisher.h"
#include "basilhall/agent/service_call.h"
#include "basilhall/base/monotonic_clock.h"
#include "basilhall/operator/percent.h"
#include "basilhall/transport/stream_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <unordered_map>

namespace basilhall::agent
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kFreeSessionTimeout = std::chrono::seconds(5);
// Maximum time to wait for peers to disconnect at the end of a drain, and how often to check.
constexpr Duration kShutDownTimeout = std::chrono::seconds(5);
constexpr Duration kShutDownPollInterval = std::chrono::milliseconds(20);
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

bool isFreed(int status)
{
    // A conflict means that a newer owner uses the program.
    return (status >= 200 && status < 300) || status == kStatusNotFound
        || status == kStatusConflict;
}

} // namespace

class Traffic::Private : public std::enable_shared_from_this<Traffic::Private>
{
public:
    Private(const asio::any_io_executor &executor, const Endpoint &endpoint, const Address &listen,
            Control &control, const asio::any_io_executor &controlExecutor, logging::Log log)
        : m_executor(executor)
        , m_endpoint(endpoint)
        , m_control(control)
        , m_controlExecutor(controlExecutor)
        , m_log(std::move(log))
        , m_client(executor)
        , m_loadPublisher(executor)
        , m_server(executor, listen, [this](std::shared_ptr<transport::ServerStream> stream) {
            return serve(std::move(stream));
        })
    {
    }

    // Runs `work` on the control thread.
    template<typename Work>
    void postToControl(Work work)
    {
        asio::post(m_controlExecutor, [this, work = std::move(work)] { work(m_control); });
    }

    asio::awaitable<void> serve(std::shared_ptr<transport::ServerStream> stream)
    {
        if (stream->method() == "/dispatch") {
            co_await serveDispatch(std::move(stream));
        } else if (stream->method() == "/load") {
            co_await m_loadPublisher.serve(std::move(stream));
        } else if (stream->method() == "/resolve") {
            co_await serveResolve(std::move(stream));
        } else if (stream->method() == "/release") {
            co_await serveRelease(std::move(stream));
        }
    }

    asio::awaitable<void> serveDispatch(std::shared_ptr<transport::ServerStream> stream)
    {
        const auto self = shared_from_this();
        const auto request = std::make_shared<wire::DispatchRequest>();
        const bool parsed = request->ParseFromString(stream->request());
        const auto number = ++m_lastStream;
        const auto call = std::make_shared<DispatchStream>(m_executor, number, stream, request);
        const Result<void> valid = checkDispatch(parsed, *request);
        if (!valid) {
            co_await call->finish(valid.error());
            co_return;
        }
        m_waiting.emplace(number, call);
        postToControl([number, dispatch = toDispatch(*request, m_clock.now())](Control &control) {
            control.dispatch(number, dispatch);
        });
        stream->onCancelled([self, number] {
            self->postToControl([number](Control &control) { control.abandoned(number); });
        });
        const Decision decision = co_await call->decision();
        m_waiting.erase(number);
        if (const auto *refuse = std::get_if<dispatch::Refuse>(&decision)) {
            co_await call->finish(refuse->error);
        } else if (const auto *replay = std::get_if<dispatch::Replay>(&decision)) {
            co_await call->finish(replay->answer);
        } else {
            co_await run(call);
        }
    }

    Result<void> checkDispatch(bool parsed, const wire::DispatchRequest &request) const
    {
        if (!parsed) {
            return Error(ErrorKind::InvalidRequest, "dispatch is malformed").withNotRun();
        }
        const bool isEngine = m_endpoint.kind == manifest::EndpointKind::Engine;
        if ((request.kind() == wire::CALL_KIND_MODEL) != isEngine) {
            return Error(ErrorKind::InvalidRequest,
                         "endpoint \"" + m_endpoint.name.value()
                             + "\" does not accept calls of this kind")
                .withNotRun();
        }
        return checkRequest(request);
    }

    asio::awaitable<void> run(std::shared_ptr<DispatchStream> call)
    {
        const CallId callId(call->request()->call_id());
        const std::shared_ptr<EndpointCall> endpointCall = m_running.at(callId);
        co_await call->sendStarted(m_loadPublisher.newest());
        const ChunkSink sink = [call](std::string chunk) -> asio::awaitable<void> {
            return call->sendChunk(std::move(chunk));
        };
        auto result = co_await runEndpointCall(endpointCall, *call->request(), sink);
        m_running.erase(callId);
        postToControl([callId, result](Control &control) { control.finished(callId, result); });
        co_await call->finish(std::move(result));
    }

    static asio::awaitable<Result<wire::Answer>>
    runEndpointCall(std::shared_ptr<EndpointCall> call, const wire::DispatchRequest &request,
                    ChunkSink sink)
    {
        try {
            co_return co_await call->run(std::move(sink));
        } catch (const std::exception &) {
            // The call may have run, whatever the exception was.
            co_return Error(request.idempotent() ? ErrorKind::Internal : ErrorKind::OutcomeUnknown,
                            "agent failed while the call was running");
        }
    }

    std::shared_ptr<EndpointCall> makeEndpointCall(const DispatchStream &call)
    {
        if (m_endpoint.kind == manifest::EndpointKind::Engine) {
            return std::make_shared<EngineCall>(m_client, m_endpoint, call.request(),
                                                call.deadline());
        }
        return std::make_shared<ServiceCall>(m_client, m_endpoint, call.request(), call.deadline());
    }

    asio::awaitable<void> serveResolve(std::shared_ptr<transport::ServerStream> stream)
    {
        wire::ResolveRequest request;
        if (!request.ParseFromString(stream->request()) || request.call_id().empty()) {
            co_return;
        }
        // A named variable, since GCC 12 destroys a closure inside a co_await expression twice.
        auto ask = [this, request]() -> asio::awaitable<dispatch::Resolution> {
            co_return m_control.resolve(request);
        };
        const dispatch::Resolution resolution =
            co_await asio::co_spawn(m_controlExecutor, std::move(ask), asio::use_awaitable);
        const Result<void> sent =
            co_await stream->send(internal::toReply(resolution).SerializeAsString());
        if (sent) {
            (void)co_await stream->finish();
        }
    }

    asio::awaitable<void> serveRelease(std::shared_ptr<transport::ServerStream> stream)
    {
        wire::ReleaseRequest request;
        if (!request.ParseFromString(stream->request()) || request.program_id().empty()) {
            co_return;
        }
        postToControl([request](Control &control) { control.release(request); });
        const Result<void> sent = co_await stream->send(wire::ReleaseReply().SerializeAsString());
        if (sent) {
            (void)co_await stream->finish();
        }
    }

    void carryOut(const dispatch::Actions &actions)
    {
        for (const dispatch::Action &action : actions) {
            if (const auto *start = std::get_if<dispatch::Start>(&action)) {
                const auto call = m_waiting.at(start->stream);
                m_running.emplace(start->callId, makeEndpointCall(*call));
                call->decide(*start);
            } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&action)) {
                decide(refuse->stream, *refuse);
            } else if (const auto *replay = std::get_if<dispatch::Replay>(&action)) {
                decide(replay->stream, *replay);
            } else if (const auto *cancel = std::get_if<dispatch::Cancel>(&action)) {
                const auto running = m_running.find(cancel->callId);
                if (running != m_running.end()) {
                    running->second->cancel();
                }
            }
        }
    }

    void decide(dispatch::StreamNumber number, Decision decision)
    {
        const auto waiting = m_waiting.find(number);
        if (waiting != m_waiting.end()) {
            waiting->second->decide(std::move(decision));
        }
    }

    asio::awaitable<void> freeSession(Session session)
    {
        const auto self = shared_from_this();
        const Instant sent = m_clock.now();
        http::Request request;
        request.method = "DELETE";
        request.target = "/v1/sessions/" + operators::percentEncode(session.program.value());
        if (session.epoch > 0) {
            request.headers.push_back({"x-fencing-token", std::to_string(session.epoch)});
        }
        const auto response =
            co_await m_client.send(m_endpoint.address, request, kFreeSessionTimeout);
        const bool freed = response && isFreed(response.value().status);
        postToControl([session, sent, freed](Control &control) {
            if (freed) {
                control.sessionFreed(session.program, sent);
            } else {
                control.sessionFreeFailed(session.program);
            }
        });
    }

    void startMonitor()
    {
        m_monitor = std::make_shared<EndpointMonitor>(
            m_client, m_endpoint,
            [this](bool isHealthy) {
                postToControl(
                    [isHealthy](Control &control) { control.endpointHealthReported(isHealthy); });
            },
            [this](const ProgramId &program, std::uint64_t tokens) {
                postToControl([program, tokens](Control &control) {
                    control.sessionTokensReported(program, tokens);
                });
            });
        asio::co_spawn(m_executor, m_monitor->run(), asio::detached);
    }

    asio::awaitable<void> shutDown(std::function<void()> done)
    {
        const auto self = shared_from_this();
        if (m_monitor) {
            m_monitor->stop();
        }
        m_loadPublisher.close();
        m_server.stopAccepting();
        asio::steady_timer timer(m_executor);
        const auto limit = std::chrono::steady_clock::now() + kShutDownTimeout;
        while (m_server.connections() > 0 && std::chrono::steady_clock::now() < limit) {
            timer.expires_after(kShutDownPollInterval);
            (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        m_server.close();
        done();
    }

    const asio::any_io_executor m_executor;
    const Endpoint m_endpoint;
    Control &m_control;
    const asio::any_io_executor m_controlExecutor;
    const logging::Log m_log;
    const MonotonicClock m_clock{};
    http::Client m_client;
    LoadReportPublisher m_loadPublisher;
    transport::StreamServer m_server;
    std::shared_ptr<EndpointMonitor> m_monitor;
    dispatch::StreamNumber m_lastStream = 0;
    // Dispatches that are waiting for a decision of Control.
    std::unordered_map<dispatch::StreamNumber, std::shared_ptr<DispatchStream>> m_waiting;
    std::unordered_map<CallId, std::shared_ptr<EndpointCall>> m_running;
};

Traffic::Traffic(const asio::any_io_executor &executor, const Endpoint &endpoint,
                 const Address &listen, Control &control,
                 const asio::any_io_executor &controlExecutor, logging::Log log)
    : d(std::make_shared<Private>(executor, endpoint, listen, control, controlExecutor,
                                  std::move(log)))
{
}

Traffic::~Traffic() = default;

Address Traffic::address() const
{
    return d->m_server.address();
}

void Traffic::start()
{
    d->startMonitor();
}

void Traffic::carryOut(const dispatch::Actions &actions)
{
    d->carryOut(actions);
}

void Traffic::publish(wire::LoadReport report)
{
    d->m_loadPublisher.publish(report);
}

void Traffic::freeSession(const Session &session)
{
    asio::co_spawn(
        d->m_executor,
        [self = d, session]() -> asio::awaitable<void> { co_await self->freeSession(session); },
        asio::detached);
}

void Traffic::shutDown(std::function<void()> done)
{
    asio::co_spawn(
        d->m_executor,
        [self = d, done = std::move(done)]() -> asio::awaitable<void> {
            co_await self->shutDown(done);
        },
        asio::detached);
}

} // namespace basilhall::agent
