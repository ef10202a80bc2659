#include "basilhall/entry/caller_api.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/base/sha256.h"
#include "basilhall/entry/answer_writer.h"
#include "basilhall/entry/error_response.h"
#include "basilhall/program/model_request.h"
#include "basilhall/program/program.h"
#include "basilhall/wire/error_codec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>

namespace basilhall::entry
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kProgramsPrefix = "/v1/programs/";
constexpr std::string_view kHistorySuffix = "/history";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxCallIdBytes = 256;

Error invalidRequest(const std::string &message)
{
    return Error(ErrorKind::InvalidRequest, message).withNotRun();
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

wire::PriorityClass toWire(manifest::Priority priority)
{
    switch (priority) {
    case manifest::Priority::Urgent:
        return wire::PRIORITY_CLASS_URGENT;
    case manifest::Priority::Batch:
        return wire::PRIORITY_CLASS_BATCH;
    case manifest::Priority::Normal:
        break;
    }
    return wire::PRIORITY_CLASS_NORMAL;
}

Result<std::uint64_t> numberHeader(const http::Headers &headers, std::string_view name)
{
    const auto text = http::findHeader(headers, name);
    if (!text) {
        return 0;
    }
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (status != std::errc() || end != text->data() + text->size() || value == 0) {
        return invalidRequest("header \"" + std::string(name) + "\" is not a positive integer");
    }
    return value;
}

std::optional<std::string> textHeader(const http::Headers &headers, std::string_view name)
{
    const auto text = http::findHeader(headers, name);
    return text ? std::optional<std::string>(*text) : std::nullopt;
}

std::string routeOfTarget(std::string_view target)
{
    const std::string_view rest = pathOf(target).substr(kServicesPrefix.size());
    return std::string(rest.substr(0, rest.find('/')));
}

http::Response jsonResponse(std::string body)
{
    http::Response response;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    return response;
}

} // namespace

// The authenticated sender of a request.
struct CallerApi::Caller {
    TeamName team;
    // Empty for an unauthenticated request to a route that is open to all.
    std::string keyDigest;
    const manifest::Team *entry = nullptr;
};

CallerApi::CallerApi(CallRouter &router, LimitGate &limits, std::function<RoutingViewPtr()> view,
                     std::uint64_t seed, metrics::Registry &registry)
    : m_router(router)
    , m_limits(limits)
    , m_view(std::move(view))
    , m_random(seed)
    , m_metrics(registry)
{
}

void CallerApi::manifestChanged(const manifest::Manifest &before, const manifest::Manifest &now)
{
    m_activeRequests.interruptWithdrawnKeys(before, now);
}

asio::awaitable<void> CallerApi::handle(std::shared_ptr<http::Exchange> exchange)
{
    const RoutingViewPtr view = m_view();
    const std::string_view path = pathOf(exchange->request().target);
    Result<void> handled = success();
    if (view->manifest == nullptr) {
        handled = Error(ErrorKind::Unavailable, "no manifest is in force yet").withNotRun();
    } else if (path == "/v1/chat/completions") {
        handled = co_await handleModel(exchange, *view);
    } else if (path == "/v1/models") {
        handled = co_await handleModels(exchange, *view);
    } else if (path.starts_with(kServicesPrefix)) {
        handled = co_await handleService(exchange, *view);
    } else if (path.starts_with(kProgramsPrefix)) {
        handled = co_await handleProgram(exchange, *view);
    } else {
        handled = Error(ErrorKind::NotFound, "path \"" + std::string(path) + "\" does not exist")
                      .withNotRun();
    }
    if (!handled) {
        m_metrics.refused(handled.error());
        (void)co_await exchange->respond(errorResponse(handled.error()));
    }
}

Result<CallerApi::Caller> CallerApi::authenticate(const http::Request &request,
                                                  const RoutingView &view, bool isOpenToAll) const
{
    const auto header = http::findHeader(request.headers, "Authorization");
    if (!header && isOpenToAll) {
        return Caller();
    }
    if (!header || !header->starts_with(kBearerPrefix)) {
        return Error(ErrorKind::Unauthenticated, "header \"Authorization\" holds no bearer key")
            .withNotRun();
    }
    Caller caller;
    caller.keyDigest = sha256Hex(header->substr(kBearerPrefix.size()));
    caller.entry = view.manifest->teamByKeyDigest(caller.keyDigest);
    if (caller.entry == nullptr) {
        return Error(ErrorKind::Unauthenticated, "the key is unknown or has been withdrawn")
            .withNotRun();
    }
    caller.team = caller.entry->name;
    return caller;
}

Result<void> CallerApi::fillCommonFields(wire::CallRequest &call, const http::Request &request,
                                         const Caller &caller)
{
    call.set_team(caller.team.value());
    call.set_body(request.body);
    BOOST_OUTCOME_TRY(const std::uint64_t turn, numberHeader(request.headers, "X-Basilhall-Turn"));
    BOOST_OUTCOME_TRY(const std::uint64_t timeout,
                      numberHeader(request.headers, "X-Basilhall-Timeout-Ms"));
    call.set_turn(turn);
    call.set_timeout_ms(static_cast<std::int64_t>(timeout));
    const auto program = textHeader(request.headers, "X-Basilhall-Program");
    const auto parent = textHeader(request.headers, "X-Basilhall-Parent");
    if (program && !program::isValidProgramName(*program)) {
        return invalidRequest(
            "header \"X-Basilhall-Program\" is not a program name: letters, digits, "
            "'-', '_' and '.', at most "
            + std::to_string(program::kMaxProgramNameBytes) + " bytes");
    }
    if (parent && !program::isValidProgramName(*parent)) {
        return invalidRequest("header \"X-Basilhall-Parent\" is not a program name");
    }
    if (program && parent && !program->starts_with(*parent + ".")) {
        return invalidRequest("program \"" + *program + "\" does not start with its parent \""
                              + *parent + ".\"");
    }
    if (program) {
        call.set_program_id(*program);
        call.set_program_named(true);
    } else if (parent) {
        call.set_program_id(*parent + "." + randomName("s"));
    }
    const auto callId = textHeader(request.headers, "X-Basilhall-Call");
    const auto key = textHeader(request.headers, "Idempotency-Key");
    call.set_call_id(callId ? *callId : key ? *key : randomName("c"));
    if (call.call_id().empty() || call.call_id().size() > kMaxCallIdBytes) {
        return invalidRequest("the call id is empty or longer than "
                              + std::to_string(kMaxCallIdBytes) + " bytes");
    }
    return success();
}

Result<wire::CallRequest> CallerApi::modelCall(const http::Request &request, const Caller &caller)
{
    if (request.method != "POST") {
        return invalidRequest("method \"" + request.method + "\" is not allowed; use POST");
    }
    BOOST_OUTCOME_TRY(const program::ModelRequest model, program::parseModelRequest(request.body));
    wire::CallRequest call;
    BOOST_OUTCOME_TRY(fillCommonFields(call, request, caller));
    call.set_kind(wire::CALL_KIND_MODEL);
    call.set_route(model.model);
    call.set_stream(model.stream);
    call.set_priority(toWire(caller.entry->priority));
    if (call.program_id().empty()) {
        call.set_program_id(randomName("p"));
    }
    if (!caller.entry->mayUseModel(model.model)) {
        return Error(ErrorKind::Forbidden,
                     "team \"" + caller.team.value() + "\" may not use model \"" + model.model
                         + "\"")
            .withNotRun();
    }
    return call;
}

Result<wire::CallRequest> CallerApi::serviceCall(const http::Request &request,
                                                 const RoutingView &view, const Caller &caller)
{
    const std::string name = routeOfTarget(request.target);
    const manifest::Route &route = *view.manifest->route(name);
    wire::CallRequest call;
    BOOST_OUTCOME_TRY(fillCommonFields(call, request, caller));
    const bool hasId = textHeader(request.headers, "Idempotency-Key").has_value()
        || textHeader(request.headers, "X-Basilhall-Call").has_value();
    if (!route.idempotent && !hasId) {
        return invalidRequest("route \"" + name
                              + "\" is not idempotent: header \"Idempotency-Key\" is missing");
    }
    call.set_kind(wire::CALL_KIND_SERVICE);
    call.set_route(name);
    call.set_http_method(request.method);
    call.set_path(request.target.substr(kServicesPrefix.size() + name.size()));
    call.set_priority(toWire(route.priority));
    if (call.timeout_ms() == 0) {
        call.set_timeout_ms(
            std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout).count());
    }
    if (call.program_id().empty()) {
        // A retry with the same key reaches the same program through any host.
        const std::string identity = caller.team.value() + "/" + name + "/" + call.call_id();
        call.set_program_id("svc-" + sha256Hex(identity).substr(0, 32));
        call.set_program_named(true);
    }
    if (caller.entry != nullptr && !caller.entry->mayUseRoute(name)) {
        return Error(ErrorKind::Forbidden,
                     "team \"" + caller.team.value() + "\" may not use route \"" + name + "\"")
            .withNotRun();
    }
    return call;
}

asio::awaitable<Result<void>> CallerApi::handleModel(std::shared_ptr<http::Exchange> exchange,
                                                     const RoutingView &view)
{
    const Result<Caller> caller = authenticate(exchange->request(), view, false);
    if (!caller) {
        co_return caller.error();
    }
    Result<wire::CallRequest> call = modelCall(exchange->request(), caller.value());
    if (!call) {
        co_return call.error();
    }
    if (view.manifest->model(ModelName(call.value().route())) == nullptr) {
        co_return Error(ErrorKind::NotFound,
                        "model \"" + call.value().route() + "\" does not exist")
            .withNotRun();
    }
    co_return co_await runCall(exchange, caller.value(), std::move(call.value()));
}

asio::awaitable<Result<void>> CallerApi::handleService(std::shared_ptr<http::Exchange> exchange,
                                                       const RoutingView &view)
{
    const std::string name = routeOfTarget(exchange->request().target);
    const manifest::Route *const route = view.manifest->route(name);
    const Result<Caller> caller =
        authenticate(exchange->request(), view, route != nullptr && route->openToAll);
    if (!caller) {
        co_return caller.error();
    }
    if (route == nullptr) {
        co_return Error(ErrorKind::NotFound, "route \"" + name + "\" does not exist").withNotRun();
    }
    Result<wire::CallRequest> call = serviceCall(exchange->request(), view, caller.value());
    if (!call) {
        co_return call.error();
    }
    co_return co_await runCall(exchange, caller.value(), std::move(call.value()));
}

asio::awaitable<Result<void>> CallerApi::runCall(std::shared_ptr<http::Exchange> exchange,
                                                 const Caller &caller, wire::CallRequest call)
{
    Interrupt interrupt;
    const ActiveRequests::Entry entry(m_activeRequests, caller.keyDigest, interrupt);
    exchange->onClientGone(
        [&interrupt] { interrupt.trigger(Error(ErrorKind::Cancelled, "the caller is gone")); });
    if (!caller.team.isEmpty()) {
        const Result<void> admitted = co_await m_limits.admit(caller.team);
        if (!admitted) {
            exchange->onClientGone(nullptr);
            co_return admitted.error();
        }
    }
    AnswerWriter writer(exchange, call);
    const MonotonicClock clock;
    CallObservation observation(m_metrics, call.kind(), clock.now());
    const ReplySink sink = [&](wire::CallReply reply) -> asio::awaitable<Result<void>> {
        observation.replied(reply, clock.now());
        return writer.write(std::move(reply));
    };
    co_await m_router.run(std::move(call), sink, interrupt);
    exchange->onClientGone(nullptr);
    co_return success();
}

asio::awaitable<Result<void>> CallerApi::handleModels(std::shared_ptr<http::Exchange> exchange,
                                                      const RoutingView &view)
{
    const Result<Caller> caller = authenticate(exchange->request(), view, false);
    if (!caller) {
        co_return caller.error();
    }
    json::array models;
    for (const auto &[name, model] : view.manifest->content().models) {
        if (caller.value().entry->mayUseModel(name.value())) {
            models.push_back(
                {{"id", name.value()}, {"object", "model"}, {"owned_by", "basilhall"}});
        }
    }
    const json::object document{{"object", "list"}, {"data", std::move(models)}};
    co_return co_await exchange->respond(jsonResponse(json::serialize(document)));
}

asio::awaitable<Result<void>> CallerApi::handleProgram(std::shared_ptr<http::Exchange> exchange,
                                                       const RoutingView &view)
{
    const http::Request &request = exchange->request();
    const Result<Caller> caller = authenticate(request, view, false);
    if (!caller) {
        co_return caller.error();
    }
    std::string_view name = pathOf(request.target).substr(kProgramsPrefix.size());
    const bool isHistory = name.ends_with(kHistorySuffix);
    if (isHistory) {
        name.remove_suffix(kHistorySuffix.size());
    }
    wire::ProgramRequest programRequest;
    programRequest.set_program_id(std::string(name));
    programRequest.set_team(caller.value().team.value());
    if (isHistory && request.method == "GET") {
        programRequest.set_action(wire::ProgramRequest::ACTION_HISTORY);
    } else if (!isHistory && request.method == "DELETE") {
        programRequest.set_action(wire::ProgramRequest::ACTION_END);
    } else if (request.method != "GET") {
        co_return invalidRequest("method \"" + request.method + "\" is not allowed");
    }
    const wire::ProgramReply reply = co_await m_router.runProgramRequest(std::move(programRequest));
    if (reply.has_error()) {
        co_return wire::fromReply(reply.error());
    }
    co_return co_await exchange->respond(jsonResponse(reply.document()));
}

std::string CallerApi::randomName(std::string_view prefix)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr int kLength = 24;
    std::string name(prefix);
    name += '-';
    for (int i = 0; i < kLength; ++i) {
        name += kDigits[m_random() & 0x0f];
    }
    return name;
}

} // namespace basilhall::entry
