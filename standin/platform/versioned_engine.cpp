#include "standin/platform/versioned_engine.h"

#include "basilhall/http/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace standin
{

namespace asio = boost::asio;
namespace http = basilhall::http;
namespace json = boost::json;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kEventPause = std::chrono::milliseconds(25);
constexpr int kSlots = 64;

} // namespace

class VersionedEngine::Private : public std::enable_shared_from_this<VersionedEngine::Private>
{
public:
    Private(asio::any_io_executor e, EngineProcess p)
        : executor(std::move(e))
        , process(std::move(p))
    {
    }

    void listen(const basilhall::Address &address)
    {
        server = std::make_unique<http::Server>(
            executor, address, http::ServerLimits(),
            [weak = weak_from_this()](std::shared_ptr<http::Exchange> exchange) {
                return serve(weak.lock(), std::move(exchange));
            },
            true);
    }

    static asio::awaitable<void> serve(std::shared_ptr<Private> self,
                                       std::shared_ptr<http::Exchange> exchange)
    {
        if (!self) {
            exchange->abort();
            co_return;
        }
        const http::Request &request = exchange->request();
        http::Response response;
        if (request.target == "/v1/report") {
            response.body = json::serialize(json::object{{"born", self->process.startedAt}});
            (void)co_await exchange->respond(std::move(response));
            co_return;
        }
        const auto id = http::findHeader(request.headers, "X-Attempt-Id");
        if (id) {
            response.headers.push_back({"X-Attempt-Id", std::string(*id)});
        }
        const auto expected = http::findHeader(request.headers, "X-Expected-Instance");
        if (expected && *expected != self->process.name) {
            response.status = 421;
            response.headers.push_back({"X-Not-Executed", "1"});
            (void)co_await exchange->respond(std::move(response));
            co_return;
        }
        co_await stream(self, std::move(exchange));
    }

    static asio::awaitable<void> stream(std::shared_ptr<Private> self,
                                        std::shared_ptr<http::Exchange> exchange)
    {
        const http::Headers &headers = exchange->request().headers;
        const auto last = http::findHeader(headers, "Last-Event-Id");
        int number = last ? std::stoi(std::string(*last)) : 0;
        const int round = self->breaks;
        http::Headers answer{{"X-Response-Signature", self->process.name}};
        if (const auto id = http::findHeader(headers, "X-Attempt-Id")) {
            answer.push_back({"X-Attempt-Id", std::string(*id)});
        }
        (void)co_await exchange->beginStream(200, std::move(answer));
        asio::steady_timer pause(self->executor);
        while (++number <= kEvents) {
            pause.expires_after(kEventPause);
            (void)co_await pause.async_wait(kTuple);
            if (self->breaks != round) {
                exchange->abort();
                co_return;
            }
            std::string event = "id: " + std::to_string(number) + "\ndata: " + self->process.version
                + " " + std::to_string(self->process.startedAt) + "\n\n";
            const auto written = co_await exchange->write(std::move(event));
            if (!written) {
                co_return;
            }
        }
        (void)co_await exchange->endStream();
    }

    asio::any_io_executor executor;
    EngineProcess process;
    std::unique_ptr<http::Server> server;
    // Streams that began before the last break are broken off.
    int breaks = 0;
};

VersionedEngine::VersionedEngine(const asio::any_io_executor &executor,
                                 const basilhall::Address &listen, EngineProcess process)
    : d(std::make_shared<Private>(executor, std::move(process)))
{
    d->listen(listen);
}

VersionedEngine::~VersionedEngine()
{
    ++d->breaks;
    d->server->close();
}

const EngineProcess &VersionedEngine::process() const
{
    return d->process;
}

basilhall::Address VersionedEngine::address() const
{
    return d->server->address();
}

std::string VersionedEngine::registration() const
{
    return json::serialize(json::object{{"service", "engines"},
                                        {"address", basilhall::toString(address())},
                                        {"availability_zone", "a"},
                                        {"version", d->process.version},
                                        {"concurrency_slots", kSlots},
                                        {"lifecycle_state", "ready"},
                                        {"cold_remaining_ms", 0},
                                        {"seq", 1},
                                        {"born", d->process.startedAt}});
}

void VersionedEngine::breakStreams()
{
    ++d->breaks;
}

} // namespace standin
