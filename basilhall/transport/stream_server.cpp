#include "basilhall/transport/stream_server.h"

#include "basilhall/transport/internal/server_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <unordered_set>

namespace basilhall::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxConnections = 4096;
// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

tcp::acceptor listenOn(const asio::any_io_executor &executor, const Address &address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

} // namespace

class StreamServer::Private : public std::enable_shared_from_this<StreamServer::Private>
{
public:
    Private(tcp::acceptor acceptor, Handler handler, KeepAlive keepAlive)
        : m_acceptor(std::move(acceptor))
        , m_localEndpoint(m_acceptor.local_endpoint())
        , m_handler(std::move(handler))
        , m_keepAlive(keepAlive)
    {
    }

    Address address() const
    {
        return {m_localEndpoint.address().to_string(), m_localEndpoint.port()};
    }
    std::size_t activeStreams() const { return *m_activeStreams; }
    std::size_t connections() const { return m_sessions.size(); }

    // Begins after the call that spawns it has returned; the server may be gone by then.
    static asio::awaitable<void> accept(std::shared_ptr<Private> self)
    {
        asio::steady_timer pause(self->m_acceptor.get_executor());
        while (self->m_acceptor.is_open()) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(kTuple);
            if (!error) {
                self->addSession(std::move(socket));
                continue;
            }
            pause.expires_after(kAcceptPause);
            (void)co_await pause.async_wait(kTuple);
        }
    }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto &session : m_sessions) {
            session->announceShutdown();
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto &session : m_sessions) {
            session->close();
        }
    }

private:
    void addSession(tcp::socket socket)
    {
        if (m_sessions.size() >= kMaxConnections || !m_acceptor.is_open()) {
            return;
        }
        // The session is still alive when it calls removeSession, so `key` can be locked there.
        const auto key = std::make_shared<std::weak_ptr<ServerSession>>();
        const auto removeSession = [self = weak_from_this(), key] {
            if (const auto server = self.lock()) {
                server->m_sessions.erase(key->lock());
            }
        };
        const auto session = std::make_shared<ServerSession>(
            std::move(socket), m_keepAlive, m_handler, m_activeStreams, removeSession);
        *key = session;
        m_sessions.insert(session);
        session->start();
    }

    tcp::acceptor m_acceptor;
    const tcp::endpoint m_localEndpoint;
    const Handler m_handler;
    const KeepAlive m_keepAlive;
    std::shared_ptr<std::size_t> m_activeStreams = std::make_shared<std::size_t>(0);
    std::unordered_set<std::shared_ptr<ServerSession>> m_sessions;
};

StreamServer::StreamServer(const asio::any_io_executor &executor, const Address &address,
                           Handler handler, KeepAlive keepAlive)
    : d(std::make_shared<Private>(listenOn(executor, address), std::move(handler), keepAlive))
{
    asio::co_spawn(executor, Private::accept(d), asio::detached);
}

StreamServer::~StreamServer()
{
    d->close();
}

Address StreamServer::address() const
{
    return d->address();
}

std::size_t StreamServer::activeStreams() const
{
    return d->activeStreams();
}

std::size_t StreamServer::connections() const
{
    return d->connections();
}

void StreamServer::stopAccepting()
{
    d->stopAccepting();
}

void StreamServer::close()
{
    d->close();
}

} // namespace basilhall::transport
