#include "basilhall/http/server.h"

#include "basilhall/http/internal/connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unordered_set>

namespace basilhall::http
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Delay after a failed accept, for example when the process is out of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

tcp::acceptor listenOn(const asio::any_io_executor &executor, const Address &address,
                       bool reusePort)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    if (reusePort) {
        acceptor.set_option(ReusePort(true));
    }
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

} // namespace

class Server::Private : public std::enable_shared_from_this<Server::Private>
{
public:
    Private(tcp::acceptor acceptor, ServerLimits limits, Handler handler)
        : m_acceptor(std::move(acceptor))
        , m_localEndpoint(m_acceptor.local_endpoint())
        , m_limits(limits)
        , m_handler(std::move(handler))
    {
    }

    Address address() const
    {
        return {m_localEndpoint.address().to_string(), m_localEndpoint.port()};
    }
    std::size_t activeExchanges() const { return *m_activeExchanges; }

    // Begins after the call that spawns it has returned; the server may be gone by then.
    static asio::awaitable<void> accept(std::shared_ptr<Private> self)
    {
        asio::steady_timer retryTimer(self->m_acceptor.get_executor());
        while (self->m_acceptor.is_open()) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(kTuple);
            if (!error) {
                self->admit(std::move(socket));
                continue;
            }
            retryTimer.expires_after(kAcceptRetryDelay);
            (void)co_await retryTimer.async_wait(kTuple);
        }
    }

    std::size_t connections() const { return m_connections.size(); }

    void setLimits(ServerLimits limits) { m_limits = limits; }

    void closeAfterAnswers()
    {
        m_draining = true;
        for (const auto &connection : m_connections) {
            connection->drain();
        }
    }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        closeAfterAnswers();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto &connection : m_connections) {
            connection->close();
        }
    }

private:
    void admit(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.maxConnections || !m_acceptor.is_open()) {
            return;
        }
        const auto connection =
            std::make_shared<Connection>(std::move(socket), m_limits, m_handler, m_activeExchanges);
        m_connections.insert(connection);
        if (m_draining) {
            connection->drain();
        }
        asio::co_spawn(m_acceptor.get_executor(), serve(shared_from_this(), connection),
                       asio::detached);
    }

    static asio::awaitable<void> serve(std::shared_ptr<Private> self,
                                       std::shared_ptr<Connection> connection)
    {
        co_await connection->run();
        self->m_connections.erase(connection);
    }

    tcp::acceptor m_acceptor;
    const tcp::endpoint m_localEndpoint;
    ServerLimits m_limits;
    const Handler m_handler;
    std::shared_ptr<std::size_t> m_activeExchanges = std::make_shared<std::size_t>(0);
    bool m_draining = false;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
};

Server::Server(const asio::any_io_executor &executor, const Address &address, ServerLimits limits,
               Handler handler, bool reusePort)
    : d(std::make_shared<Private>(listenOn(executor, address, reusePort), limits,
                                  std::move(handler)))
{
    asio::co_spawn(executor, Private::accept(d), asio::detached);
}

Server::~Server()
{
    d->close();
}

Address Server::address() const
{
    return d->address();
}

std::size_t Server::activeExchanges() const
{
    return d->activeExchanges();
}

std::size_t Server::connections() const
{
    return d->connections();
}

void Server::setLimits(ServerLimits limits)
{
    d->setLimits(limits);
}

void Server::closeAfterAnswers()
{
    d->closeAfterAnswers();
}

void Server::stopAccepting()
{
    d->stopAccepting();
}

void Server::close()
{
    d->close();
}

} // namespace basilhall::http
