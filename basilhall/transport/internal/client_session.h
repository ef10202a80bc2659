// The client side of one connection, with the streams opened on it.
//
//     session->start();
//     auto stream = session->submit(authority, "/resolve", request);
#pragma once

#include "basilhall/transport/client_stream.h"
#include "basilhall/transport/internal/session.h"

#include <unordered_map>

namespace basilhall::transport
{

class ClientStreamState;

// Not thread-safe.
class ClientSession : public Session
{
public:
    ClientSession(boost::asio::ip::tcp::socket socket, KeepAlive keepAlive);
    ~ClientSession() override;

    // Returns true if further streams can be opened.
    bool isUsable() const { return !isClosed() && !m_goaway; }
    // Sends a request. Every error has notRun().
    Result<std::unique_ptr<ClientStream>> submit(const std::string &authority,
                                                 const std::string &method, std::string request);

protected:
    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onData(std::int32_t stream, std::string_view bytes) override;
    void onEndOfStream(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t code) override;
    void onGoaway() override;
    void onClosed() override;

private:
    std::shared_ptr<ClientStreamState> find(std::int32_t stream) const;

    std::unordered_map<std::int32_t, std::shared_ptr<ClientStreamState>> m_streams;
    bool m_goaway = false;
};

} // namespace basilhall::transport
