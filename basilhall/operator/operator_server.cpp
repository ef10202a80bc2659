#include "basilhall/operator/operator_server.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/http/server.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/metrics/health.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/operator/percent.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string_view>
#include <utility>

namespace basilhall::operators
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kMaxBodyBytes = 1024;
constexpr std::size_t kMaxConnections = 64;
constexpr std::string_view kProgramPrefix = "/programs/";
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kText = "text/plain; charset=utf-8";
constexpr std::string_view kPrometheusText = "text/plain; version=0.0.4; charset=utf-8";
constexpr int kOk = 200;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnready = 503;

http::ServerLimits limits()
{
    http::ServerLimits limits;
    limits.maxBodyBytes = kMaxBodyBytes;
    limits.maxConnections = kMaxConnections;
    return limits;
}

http::Response answer(int status, std::string_view contentType, std::string body)
{
    return {status, {{"Content-Type", std::string(contentType)}}, std::move(body)};
}

http::Response failure(const Error &error)
{
    const ErrorTraits &traits = errorTraits(error.kind());
    const json::object body{
        {"error", json::object{{"kind", traits.name}, {"message", error.message()}}}};
    return answer(traits.httpStatus, kJson, json::serialize(body));
}

http::Response notFound(std::string_view target)
{
    return failure(
        Error(ErrorKind::NotFound, "path \"" + std::string(target) + "\" does not exist"));
}

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

std::string auditDocument(const std::deque<audit::Record> &records)
{
    std::string document = "[";
    for (const audit::Record &record : records) {
        document += document.size() > 1 ? ",\n" : "";
        document += audit::encodeRecord(record);
    }
    return document + "]\n";
}

std::string_view withoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

class OperatorServer::Private
{
public:
    Private(const asio::any_io_executor &executor, const Address &address,
            metrics::Registry &processRegistry, const metrics::Health &processHealth,
            logging::LogSystem &processLogs, Reports processReports)
        : registry(processRegistry)
        , health(processHealth)
        , logs(processLogs)
        , reports(std::move(processReports))
        , server(executor, address, limits(),
                 [this](std::shared_ptr<http::Exchange> exchange) { return serve(exchange); })
    {
    }

    asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        const http::Request &request = exchange->request();
        const std::string_view path = withoutQuery(request.target);
        if (path.starts_with(kProgramPrefix) && request.method == "GET") {
            http::Response response = co_await explain(path.substr(kProgramPrefix.size()));
            [[maybe_unused]] const auto sent = co_await exchange->respond(std::move(response));
            co_return;
        }
        http::Response response = respondTo(request.method, path, request.body);
        [[maybe_unused]] const auto sent = co_await exchange->respond(std::move(response));
    }

    http::Response respondTo(const std::string &method, std::string_view path,
                             const std::string &body)
    {
        if (path == "/log-level") {
            return logLevel(method, body);
        }
        if (method != "GET") {
            return answer(kMethodNotAllowed, kText, "use GET\n");
        }
        if (path == "/status" && reports.status) {
            return answer(kOk, kJson, reports.status());
        }
        if (path == "/audit" && reports.audit) {
            return answer(kOk, kJson, auditDocument(reports.audit()));
        }
        if (path == "/metrics") {
            if (reports.updateMetrics) {
                reports.updateMetrics(registry);
            }
            registry.gauge(metrics::Metric::LogLevel).set(static_cast<double>(logs.level()));
            return answer(kOk, kPrometheusText, registry.text());
        }
        if (path == "/livez") {
            const bool isLive = health.isLive(MonotonicClock().now());
            return isLive ? answer(kOk, kText, "live\n")
                          : answer(kUnready, kText, "the control thread does not run\n");
        }
        if (path == "/readyz") {
            const std::vector<std::string> missing = health.missing();
            return missing.empty() ? answer(kOk, kText, "ready\n")
                                   : answer(kUnready, kText, "not ready: " + join(missing) + "\n");
        }
        return notFound(path);
    }

    http::Response logLevel(const std::string &method, const std::string &body)
    {
        if (method == "PUT") {
            const std::string_view name =
                std::string_view(body).substr(0, body.find_last_not_of(" \r\n") + 1);
            const std::optional<logging::Level> level = logging::levelFromName(name);
            if (!level) {
                return failure(Error(ErrorKind::InvalidRequest,
                                     "the body must be debug, info, warning, error or off"));
            }
            logs.setLevel(*level);
        } else if (method != "GET") {
            return answer(kMethodNotAllowed, kText, "use GET or PUT\n");
        }
        return answer(kOk, kText, std::string(logging::toString(logs.level())) + "\n");
    }

    asio::awaitable<http::Response> explain(std::string_view segment)
    {
        const std::optional<std::string> program = percentDecode(segment);
        if (!program || program->empty() || !reports.explain) {
            co_return notFound(segment);
        }
        const Result<std::string> document = co_await reports.explain(ProgramId(*program));
        if (!document) {
            co_return failure(document.error());
        }
        co_return answer(kOk, kJson, document.value());
    }

    metrics::Registry &registry;
    const metrics::Health &health;
    logging::LogSystem &logs;
    const Reports reports;
    http::Server server;
};

OperatorServer::OperatorServer(const asio::any_io_executor &executor, const Address &address,
                               metrics::Registry &registry, const metrics::Health &health,
                               logging::LogSystem &logs, Reports reports)
    : d(std::make_unique<Private>(executor, address, registry, health, logs, std::move(reports)))
{
}

OperatorServer::~OperatorServer() = default;

Address OperatorServer::address() const
{
    return d->server.address();
}

void OperatorServer::close()
{
    d->server.close();
}

} // namespace basilhall::operators
