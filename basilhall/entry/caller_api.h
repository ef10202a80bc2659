// Serves the HTTP API for callers on one traffic thread.
//
//     POST   /v1/chat/completions              a model call of a program
//     GET    /v1/models                        models that the team may use
//     *      /v1/services/{route}/...          a call to a plain or tool service
//     GET    /v1/programs/{program}            status and budget
//     GET    /v1/programs/{program}/history    turns in order
//     DELETE /v1/programs/{program}            end the program
//
// docs/API.md gives the headers, formats and errors. The caller's API key is not passed beyond
// this class.
#pragma once

#include "basilhall/entry/active_requests.h"
#include "basilhall/entry/call_metrics.h"
#include "basilhall/entry/call_router.h"
#include "basilhall/entry/limit_gate.h"
#include "basilhall/http/exchange.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace basilhall::entry
{

// Not thread-safe.
class CallerApi
{
public:
    // `seed` seeds the random generator for identifiers.
    CallerApi(CallRouter &router, LimitGate &limits, std::function<RoutingViewPtr()> view,
              std::uint64_t seed, metrics::Registry &registry);

    boost::asio::awaitable<void> handle(std::shared_ptr<http::Exchange> exchange);
    // Ends the requests whose keys are withdrawn by the newer manifest `now`.
    void manifestChanged(const manifest::Manifest &before, const manifest::Manifest &now);
    std::size_t requestsInProgress() const { return m_activeRequests.size(); }

private:
    struct Caller;

    Result<Caller> authenticate(const http::Request &request, const RoutingView &view,
                                bool isOpenToAll) const;
    Result<wire::CallRequest> modelCall(const http::Request &request, const Caller &caller);
    Result<wire::CallRequest> serviceCall(const http::Request &request, const RoutingView &view,
                                          const Caller &caller);
    Result<void> fillCommonFields(wire::CallRequest &call, const http::Request &request,
                                  const Caller &caller);
    boost::asio::awaitable<Result<void>> handleModel(std::shared_ptr<http::Exchange> exchange,
                                                     const RoutingView &view);
    boost::asio::awaitable<Result<void>> handleService(std::shared_ptr<http::Exchange> exchange,
                                                       const RoutingView &view);
    boost::asio::awaitable<Result<void>> handleModels(std::shared_ptr<http::Exchange> exchange,
                                                      const RoutingView &view);
    boost::asio::awaitable<Result<void>> handleProgram(std::shared_ptr<http::Exchange> exchange,
                                                       const RoutingView &view);
    boost::asio::awaitable<Result<void>> runCall(std::shared_ptr<http::Exchange> exchange,
                                                 const Caller &caller, wire::CallRequest call);
    std::string randomName(std::string_view prefix);

    CallRouter &m_router;
    LimitGate &m_limits;
    std::function<RoutingViewPtr()> m_view;
    std::mt19937_64 m_random;
    CallMetrics m_metrics;
    ActiveRequests m_activeRequests;
};

} // namespace basilhall::entry
