// Test harness with an agent on separate threads, an endpoint served by a handler, and a client.
//
//     harness.startEndpoint(handler);
//     harness.startAgent();
//     harness.run([&]() -> asio::awaitable<void> { co_await harness.dispatch(request); });
#pragma once

#include "basilhall/agent/agent.h"
#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/http/server.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/error_codec.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>
#include <vector>

namespace basilhall::agent
{

// All replies to one dispatch.
struct DispatchResult {
    bool started = false;
    std::vector<std::string> chunks;
    std::optional<wire::Answer> answer;
    std::optional<Error> error;
};

class AgentHarness
{
public:
    static constexpr Duration kConnectTimeout = std::chrono::seconds(5);
    static inline const Incarnation kSelf{"0123456789abcdef0123456789abcdef"};

    explicit AgentHarness(manifest::EndpointKind kind, std::uint32_t capacity = 4)
        : m_kind(kind)
        , m_capacity(capacity)
    {
    }

    ~AgentHarness() { stop(); }

    boost::asio::io_context &context() { return m_context; }

    void startEndpoint(http::Server::Handler handler)
    {
        m_endpoint.emplace(m_context.get_executor(), Address{"127.0.0.1", 0}, http::ServerLimits(),
                           std::move(handler));
    }
    http::Server &endpoint() { return *m_endpoint; }

    void startAgent()
    {
        const Endpoint endpoint{EndpointName("e"), m_endpoint->address(), m_kind, m_capacity, true};
        const AgentAddresses addresses{{"127.0.0.1", 0}, {"127.0.0.1", 0}};
        m_agent.emplace(endpoint, addresses, kSelf, m_logs);
        m_thread = std::thread([this] { m_agent->run(); });
    }

    Agent &agent() { return *m_agent; }
    bool hasStopped() const { return m_stopped; }

    // Drains the agent and waits until it has stopped. Keeps serving the endpoint meanwhile.
    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        m_agent->drain();
        m_client.close();
        std::thread joiner([this] {
            m_thread.join();
            m_stopped = true;
        });
        while (!m_stopped) {
            m_context.run_for(std::chrono::milliseconds(5));
            m_context.restart();
        }
        joiner.join();
    }

    wire::DispatchRequest request(const std::string &callId) const
    {
        wire::DispatchRequest request;
        request.set_call_id(callId);
        request.set_idempotency_key("key-" + callId);
        request.set_program_id("program");
        request.set_epoch(7);
        request.set_agent_incarnation(kSelf.value());
        request.set_timeout_ms(10'000);
        const bool isEngine = m_kind == manifest::EndpointKind::Engine;
        request.set_kind(isEngine ? wire::CALL_KIND_MODEL : wire::CALL_KIND_SERVICE);
        request.set_idempotent(isEngine);
        request.set_stream(isEngine);
        request.set_http_method("POST");
        request.set_path("/book?x=1");
        request.set_body("{}");
        return request;
    }

    boost::asio::awaitable<std::unique_ptr<transport::ClientStream>> open(std::string method,
                                                                          std::string message)
    {
        auto stream = co_await m_client.open(m_agent->peerAddress(), std::move(method),
                                             std::move(message), kConnectTimeout);
        BOOST_TEST_REQUIRE(stream.has_value());
        co_return std::move(stream).value();
    }

    boost::asio::awaitable<DispatchResult> dispatch(wire::DispatchRequest request)
    {
        auto stream = co_await open("/dispatch", request.SerializeAsString());
        co_return co_await collect(*stream);
    }

    static boost::asio::awaitable<DispatchResult> collect(transport::ClientStream &stream)
    {
        DispatchResult result;
        while (true) {
            auto message = co_await stream.next();
            if (!message) {
                result.error = message.error();
                co_return result;
            }
            if (!message.value()) {
                co_return result;
            }
            wire::DispatchReply reply;
            BOOST_TEST_REQUIRE(reply.ParseFromString(*message.value()));
            result.started = result.started || reply.has_started();
            if (reply.event_case() == wire::DispatchReply::kChunk) {
                result.chunks.push_back(reply.chunk());
            } else if (reply.has_finished()) {
                result.answer = reply.finished();
            } else if (reply.has_error()) {
                result.error = wire::fromReply(reply.error());
            }
        }
    }

    template<typename Reply>
    boost::asio::awaitable<Reply> ask(std::string method, std::string message)
    {
        auto stream = co_await open(std::move(method), std::move(message));
        auto answer = co_await stream->next();
        BOOST_TEST_REQUIRE((answer.has_value() && answer.value().has_value()));
        Reply reply;
        BOOST_TEST_REQUIRE(reply.ParseFromString(*answer.value()));
        co_return reply;
    }

    boost::asio::awaitable<wire::ResolveReply> resolve(std::string callId, std::uint64_t epoch = 7)
    {
        wire::ResolveRequest request;
        request.set_call_id(callId);
        request.set_agent_incarnation(kSelf.value());
        request.set_epoch(epoch);
        co_return co_await ask<wire::ResolveReply>("/resolve", request.SerializeAsString());
    }

    boost::asio::awaitable<void> until(std::function<bool()> condition)
    {
        boost::asio::steady_timer poll(m_context);
        while (!condition()) {
            poll.expires_after(std::chrono::milliseconds(1));
            co_await poll.async_wait(boost::asio::use_awaitable);
        }
    }

    void run(const std::function<boost::asio::awaitable<void>()> &body)
    {
        testing::runCoroutine(m_context, body);
    }

private:
    static logging::LogSettings disabledLogging()
    {
        logging::LogSettings settings;
        settings.level = logging::Level::Off;
        return settings;
    }

    const manifest::EndpointKind m_kind;
    const std::uint32_t m_capacity;
    boost::asio::io_context m_context;
    logging::LogSystem m_logs{disabledLogging()};
    std::optional<http::Server> m_endpoint;
    transport::StreamClient m_client{m_context.get_executor()};
    std::optional<Agent> m_agent;
    std::thread m_thread;
    std::atomic<bool> m_stopped = false;
};

} // namespace basilhall::agent
