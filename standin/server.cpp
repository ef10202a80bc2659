#include "standin/server.h"

#include "standin/application.h"
#include "standin/connection.h"
#include "standin/fault_plan.h"
#include "standin/sleep.h"
#include "standin/traffic_log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <set>

namespace standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds kHangPoll(10);

std::string errorBody(const std::string &message)
{
    return json::serialize(json::object{{"error", json::object{{"message", message}}}});
}

} // namespace

class Server::Private : public std::enable_shared_from_this<Server::Private>
{
public:
    Private(const asio::any_io_executor &executor, const tcp::endpoint &endpoint, Application &app)
        : acceptor(executor, endpoint)
        , application(app)
    {
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] =
                co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error == asio::error::operation_aborted || !acceptor.is_open()) {
                co_return;
            }
            if (error) {
                co_await sleepFor(kHangPoll);
                continue;
            }
            socket.set_option(tcp::no_delay(true));
            auto connection = std::make_shared<Connection>(
                std::move(socket),
                [self = shared_from_this()](Connection &c) { return self->handle(c); });
            asio::co_spawn(acceptor.get_executor(), run(shared_from_this(), connection),
                           asio::detached);
        }
    }

    static asio::awaitable<void> run(std::shared_ptr<Private> self,
                                     std::shared_ptr<Connection> connection)
    {
        self->connections.insert(connection.get());
        try {
            co_await connection->run();
        } catch (const boost::system::system_error &) {
            connection->cut();
        }
        self->connections.erase(connection.get());
    }

    asio::awaitable<void> handle(Connection &connection)
    {
        const Request &request = connection.request();
        if (request.path.starts_with("/control/")) {
            co_await control(connection);
            co_return;
        }
        traffic.record(request);
        const std::optional<FaultRule> rule = faults.take(request.method, request.path);
        if (rule) {
            connection.setAnswerFault(*rule);
            const bool run = co_await showFaultBefore(connection, *rule);
            if (!run) {
                co_return;
            }
        }
        co_await serve(connection);
    }

    asio::awaitable<void> serve(Connection &connection)
    {
        std::string failure;
        try {
            co_await application.serve(connection);
            co_return;
        } catch (const boost::system::system_error &error) {
            const auto jsonError = json::make_error_code(json::error::syntax);
            if (error.code().category() != jsonError.category()) {
                throw; // The connection is gone.
            }
            failure = error.what();
        } catch (const std::exception &error) {
            failure = error.what();
        }
        co_await connection.respond(400, errorBody(failure));
    }

    // Returns false if the request is not to run.
    asio::awaitable<bool> showFaultBefore(Connection &connection, const FaultRule &rule)
    {
        if (rule.kind == FaultKind::Delay) {
            co_await sleepFor(std::chrono::milliseconds(rule.delayMs));
        }
        if (rule.kind == FaultKind::Hang) {
            co_await hang(connection);
            co_return !connection.clientGone();
        }
        if (rule.kind == FaultKind::DropBefore) {
            connection.cut();
            co_return false;
        }
        if (rule.kind == FaultKind::Status) {
            co_await connection.respond(rule.status, errorBody("fault"));
            co_return false;
        }
        co_return true;
    }

    asio::awaitable<void> hang(Connection &connection)
    {
        const std::uint64_t generation = faults.generation();
        connection.onClientGone([] {});
        while (!connection.clientGone() && faults.generation() == generation) {
            co_await sleepFor(kHangPoll);
        }
    }

    asio::awaitable<void> control(Connection &connection)
    {
        int status = 200;
        std::string body;
        try {
            std::optional<std::string> answer = controlAnswer(connection.request());
            status = answer ? 200 : 404;
            body = answer ? std::move(*answer) : errorBody("this control does not exist");
        } catch (const std::exception &error) {
            status = 400;
            body = errorBody(error.what());
        }
        co_await connection.respond(status, std::move(body));
    }

    std::optional<std::string> controlAnswer(const Request &request)
    {
        if (request.path == "/control/traffic") {
            return traffic.describe();
        }
        if (request.path == "/control/faults") {
            if (request.method == "POST") {
                const json::value document = json::parse(request.body);
                application.configure(document.as_object());
                faults.replace(document.as_object());
            }
            return faults.describe();
        }
        return application.control(request);
    }

    tcp::acceptor acceptor;
    Application &application;
    FaultPlan faults;
    TrafficLog traffic;
    std::set<Connection *> connections;
};

Server::Server(const asio::any_io_executor &executor, const std::string &ip, std::uint16_t port,
               Application &application)
    : d(std::make_shared<Private>(executor, tcp::endpoint(asio::ip::make_address(ip), port),
                                  application))
{
    asio::co_spawn(
        executor, [self = d] { return self->accept(); }, asio::detached);
}

Server::~Server()
{
    close();
}

std::uint16_t Server::port() const
{
    return d->acceptor.local_endpoint().port();
}

void Server::close()
{
    boost::system::error_code ignored;
    d->acceptor.close(ignored);
    for (Connection *connection : d->connections) {
        connection->cut();
    }
}

} // namespace standin
