#include "basilhall/transport/stream_client.h"

#include "basilhall/transport/internal/message_codec.h"
#include "basilhall/transport/internal/peer_connection.h"

#include <map>

namespace basilhall::transport
{

namespace asio = boost::asio;

class StreamClient::Private
{
public:
    Private(const asio::any_io_executor &executor, KeepAlive keepAlive)
        : m_executor(executor)
        , m_keepAlive(keepAlive)
    {
    }

    std::shared_ptr<PeerConnection> connection(const Address &peer)
    {
        const auto found = m_connections.find(peer);
        if (found != m_connections.end()) {
            return found->second;
        }
        std::erase_if(m_connections, [](const auto &entry) { return entry.second->isIdle(); });
        auto created = std::make_shared<PeerConnection>(m_executor, peer, m_keepAlive);
        m_connections.emplace(peer, created);
        return created;
    }

    void close()
    {
        for (const auto &[peer, connection] : m_connections) {
            connection->close();
        }
        m_connections.clear();
    }

private:
    asio::any_io_executor m_executor;
    const KeepAlive m_keepAlive;
    std::map<Address, std::shared_ptr<PeerConnection>> m_connections;
};

StreamClient::StreamClient(const asio::any_io_executor &executor, KeepAlive keepAlive)
    : d(std::make_shared<Private>(executor, keepAlive))
{
}

StreamClient::~StreamClient()
{
    d->close();
}

asio::awaitable<Result<std::unique_ptr<ClientStream>>>
StreamClient::open(Address peer, std::string method, std::string request, Duration connectTimeout)
{
    if (request.size() > kMaxMessageBytes) {
        co_return Error(ErrorKind::PayloadTooLarge,
                        "request of " + std::to_string(request.size()) + " bytes is larger than "
                            + std::to_string(kMaxMessageBytes))
            .withNotRun();
    }
    const auto connection = d->connection(peer);
    auto session = co_await connection->session(connectTimeout);
    if (!session) {
        co_return session.error();
    }
    co_return session.value()->submit(toString(peer), method, std::move(request));
}

void StreamClient::close()
{
    d->close();
}

} // namespace basilhall::transport
