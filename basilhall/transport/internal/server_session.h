// The server side of one connection, with the streams opened by the peer.
//
//     const auto session = std::make_shared<ServerSession>(std::move(socket), keepAlive, handler,
//                                                          activeStreams, onDisconnected);
//     session->start();
#pragma once

#include "basilhall/transport/internal/session.h"
#include "basilhall/transport/stream_server.h"

#include <unordered_map>

namespace basilhall::transport
{

class ServerStreamState;

// Not thread-safe.
class ServerSession : public Session
{
public:
    // `active` counts the running handlers of all connections of the server. `onDisconnected` is
    // called when the connection has closed.
    ServerSession(boost::asio::ip::tcp::socket socket, KeepAlive keepAlive,
                  StreamServer::Handler handler, std::shared_ptr<std::size_t> active,
                  std::function<void()> onDisconnected);
    ~ServerSession() override;

    // Asks the peer to open no further streams. Streams opened before it receives the notice are
    // still served.
    void announceShutdown();

protected:
    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onData(std::int32_t stream, std::string_view bytes) override;
    void onEndOfStream(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t code) override;
    void onGoaway() override { }
    void onClosed() override;

private:
    std::shared_ptr<ServerStreamState> find(std::int32_t stream) const;
    boost::asio::awaitable<void> runHandler(std::shared_ptr<ServerStreamState> state);

    StreamServer::Handler m_handler;
    std::shared_ptr<std::size_t> m_activeStreams;
    std::function<void()> m_onDisconnected;
    std::unordered_map<std::int32_t, std::shared_ptr<ServerStreamState>> m_streams;
    // Total bytes of incomplete requests.
    std::size_t m_pendingBytes = 0;
};

} // namespace basilhall::transport
