#include "standin/platform/fleet_control.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/http/server.h"
#include "standin/platform/platform_store.h"
#include "standin/platform/versioned_engine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <string>

namespace standin
{

namespace asio = boost::asio;
namespace http = basilhall::http;
namespace json = boost::json;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

std::string text(const json::object &fields, std::string_view name)
{
    const json::value *value = fields.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::int64_t number(const json::object &fields, std::string_view name)
{
    const json::value *value = fields.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

} // namespace

class FleetControl::Private : public std::enable_shared_from_this<FleetControl::Private>
{
public:
    explicit Private(const asio::any_io_executor &e)
        : executor(e)
        , store(e)
    {
    }

    void listen(const basilhall::Address &address)
    {
        server = std::make_unique<http::Server>(
            executor, address, http::ServerLimits(),
            [weak = weak_from_this()](std::shared_ptr<http::Exchange> exchange) {
                return serve(weak.lock(), std::move(exchange));
            });
    }

    static asio::awaitable<void> serve(std::shared_ptr<Private> self,
                                       std::shared_ptr<http::Exchange> exchange)
    {
        boost::system::error_code error;
        const json::value body = json::parse(exchange->request().body, error);
        const bool isDone = self && !error && body.is_object()
            && self->apply(exchange->request().target, body.get_object());
        http::Response response;
        response.status = isDone ? 200 : 400;
        response.body = "{}";
        (void)co_await exchange->respond(std::move(response));
    }

    bool apply(const std::string &target, const json::object &fields)
    {
        if (target == "/policy") {
            store.put("config", "main", json::serialize(fields));
            return true;
        }
        if (target == "/store") {
            return setFault(text(fields, "fault"));
        }
        const std::string name = text(fields, "name");
        if (target == "/break" && engines.contains(name)) {
            engines.at(name)->breakStreams();
            return true;
        }
        if (target == "/engines" && !name.empty()) {
            replace(name, text(fields, "version"), number(fields, "register_after_ms"));
            return true;
        }
        return false;
    }

    bool setFault(const std::string &fault)
    {
        using Fault = PlatformStore::Fault;
        const std::map<std::string, Fault> faults{
            {"none", Fault::None}, {"busy", Fault::Busy}, {"silent", Fault::Silent}};
        const auto found = faults.find(fault);
        if (found != faults.end()) {
            store.setFault(found->second);
        }
        return found != faults.end();
    }

    // Ends the process of this name, and starts another one at its address.
    void replace(const std::string &name, const std::string &version, std::int64_t registerAfterMs)
    {
        basilhall::Address address{"127.0.0.1", 0};
        const auto running = engines.find(name);
        if (running != engines.end()) {
            address = running->second->address();
            engines.erase(running);
        }
        const EngineProcess process{name, version, basilhall::MonotonicClock().wallMillis()};
        engines.emplace(name, std::make_unique<VersionedEngine>(executor, address, process));
        asio::co_spawn(executor, registerLater(shared_from_this(), process, registerAfterMs),
                       asio::detached);
    }

    static asio::awaitable<void> registerLater(std::shared_ptr<Private> self, EngineProcess process,
                                               std::int64_t afterMs)
    {
        asio::steady_timer pause(self->executor, std::chrono::milliseconds(afterMs));
        (void)co_await pause.async_wait(kTuple);
        const auto running = self->engines.find(process.name);
        if (running != self->engines.end() && running->second->process() == process) {
            self->store.put("servers", process.name, running->second->registration());
        }
    }

    asio::any_io_executor executor;
    PlatformStore store;
    std::map<std::string, std::unique_ptr<VersionedEngine>> engines;
    std::unique_ptr<http::Server> server;
};

FleetControl::FleetControl(const asio::any_io_executor &executor, const basilhall::Address &listen)
    : d(std::make_shared<Private>(executor))
{
    d->listen(listen);
}

FleetControl::~FleetControl()
{
    d->server->close();
}

basilhall::Address FleetControl::address() const
{
    return d->server->address();
}

basilhall::Address FleetControl::storeAddress() const
{
    return d->store.address();
}

} // namespace standin
