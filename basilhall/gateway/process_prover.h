// Asks endpoints which process runs behind an open connection, so that a version is not taken from
// a registration whose process has been replaced.
//
//     ProcessProver<Dialect> prover(client, state, log);
//     const bool isProven = co_await prover.prove(endpoint, stream.connectedAt());
#pragma once

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/gateway/call_dialect.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/http/client.h"
#include "basilhall/resumption/process_proofs.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <memory>
#include <utility>

namespace basilhall::gateway
{

// Not thread-safe. The references must outlive it and its coroutines.
template<CallDialect Dialect>
class ProcessProver
{
public:
    ProcessProver(http::Client &client, const FleetState &state, CallLog &log)
        : m_client(client)
        , m_state(state)
        , m_log(log)
    {
    }

    // True if the connection is known to lead to the registered process. Always true if the
    // registration does not state a start, since processes cannot be told apart then.
    bool isProven(const fleet::Endpoint &endpoint, Instant connectedAt) const
    {
        return endpoint.startedAt == 0
            || m_proofs.contains(endpoint.name, endpoint.startedAt, connectedAt);
    }

    // The same; asks the endpoint if necessary, unless its failure domain is evacuated. Questions
    // to one endpoint are asked one at a time.
    boost::asio::awaitable<bool> prove(fleet::Endpoint endpoint, Instant connectedAt)
    {
        while (!isProven(endpoint, connectedAt)) {
            if (!mayAsk(m_state, endpoint)) {
                co_return false;
            }
            const auto pending = m_pending.find(endpoint.name);
            if (pending == m_pending.end()) {
                co_await ask(endpoint);
                co_return isProven(endpoint, connectedAt);
            }
            const auto done = pending->second;
            co_await done->wait();
        }
        co_return true;
    }

private:
    static constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
    static constexpr Duration kTimeout = std::chrono::milliseconds(400);
    // A report lists what runs on an endpoint: some 100 bytes for each of some hundred requests.
    static constexpr std::size_t kMaxReportBytes = 256UL * 1024;
    // Connections are not kept open without use for that long.
    static constexpr Duration kRetention = std::chrono::minutes(10);

    static bool mayAsk(const FleetState &state, const fleet::Endpoint &endpoint)
    {
        return state.decideSend(endpoint, MonotonicClock().now()).isAllowed;
    }

    boost::asio::awaitable<void> ask(fleet::Endpoint endpoint)
    {
        const auto done =
            std::make_shared<transport::Signal>(co_await boost::asio::this_coro::executor);
        m_pending.emplace(endpoint.name, done);
        const Instant askedAt = MonotonicClock().now();
        m_proofs.expire(askedAt - kRetention);
        http::RequestOptions options;
        options.connectTimeout = kConnectTimeout;
        options.maxResponseBytes = kMaxReportBytes;
        // The question has no id, so an answer that has one belongs to a request.
        options.ownerOf = [](const http::Headers &headers) {
            return Dialect::answerFacts(0, headers).call.isEmpty()
                ? http::ResponseOwner::ThisRequest
                : http::ResponseOwner::OtherRequest;
        };
        options.maySend = [this, endpoint] { return mayAsk(m_state, endpoint); };
        const auto answer = co_await m_client.send(endpoint.address, Dialect::processRequest(),
                                                   kTimeout, std::move(options));
        const auto startedAt = answer ? Dialect::processStart(answer.value()) : std::nullopt;
        if (startedAt) {
            m_proofs.add(endpoint.name, *startedAt, askedAt);
        }
        if (startedAt != endpoint.startedAt && mayAsk(m_state, endpoint)) {
            m_log.processUnproven(endpoint, startedAt);
        }
        m_pending.erase(endpoint.name);
        done->notify();
    }

    http::Client &m_client;
    const FleetState &m_state;
    CallLog &m_log;
    resumption::ProcessProofs m_proofs;
    std::map<EndpointName, std::shared_ptr<transport::Signal>> m_pending;
};

} // namespace basilhall::gateway
