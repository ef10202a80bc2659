#include "basilhall/transport/internal/client_session.h"

#include "basilhall/transport/internal/client_stream_state.h"

#include <array>

namespace basilhall::transport
{

namespace
{

// Handle of a stream that cancels the stream on destruction.
class ClientStreamHandle : public ClientStream
{
public:
    explicit ClientStreamHandle(std::shared_ptr<ClientStreamState> state)
        : m_state(std::move(state))
    {
    }

    ~ClientStreamHandle() override { m_state->cancel(); }

    boost::asio::awaitable<Result<std::optional<std::string>>> next() override
    {
        return m_state->next();
    }

    void cancel() override { m_state->cancel(); }

private:
    std::shared_ptr<ClientStreamState> m_state;
};

nghttp2_nv field(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

ssize_t readRequest(nghttp2_session *, std::int32_t, std::uint8_t *buffer, std::size_t size,
                    std::uint32_t *flags, nghttp2_data_source *source, void *)
{
    bool end = false;
    auto *state = static_cast<ClientStreamState *>(source->ptr);
    const std::size_t count = state->readRequest(buffer, size, end);
    if (end) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace

ClientSession::ClientSession(boost::asio::ip::tcp::socket socket, KeepAlive keepAlive)
    : Session(std::move(socket), Side::Client, keepAlive)
{
}

ClientSession::~ClientSession() = default;

Result<std::unique_ptr<ClientStream>>
ClientSession::submit(const std::string &authority, const std::string &method, std::string request)
{
    const auto self = std::static_pointer_cast<ClientSession>(shared_from_this());
    const auto state = std::make_shared<ClientStreamState>(self, std::move(request));
    const std::array<nghttp2_nv, 4> fields{field(":method", "POST"), field(":scheme", "http"),
                                           field(":authority", authority), field(":path", method)};
    nghttp2_data_provider provider{};
    provider.source.ptr = state.get();
    provider.read_callback = &readRequest;
    const std::int32_t id =
        nghttp2_submit_request(handle(), nullptr, fields.data(), fields.size(), &provider, nullptr);
    if (id < 0) {
        return Error(ErrorKind::Unavailable,
                     "cannot open a stream to " + authority + ": " + nghttp2_strerror(id))
            .withNotRun();
    }
    state->setId(id);
    m_streams.emplace(id, state);
    wakeWriter();
    return std::make_unique<ClientStreamHandle>(state);
}

void ClientSession::onHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    const auto state = find(stream);
    if (state && name == ":status") {
        state->onStatus(value);
    }
}

void ClientSession::onData(std::int32_t stream, std::string_view bytes)
{
    if (const auto state = find(stream)) {
        state->onData(bytes);
    }
}

void ClientSession::onEndOfStream(std::int32_t stream)
{
    if (const auto state = find(stream)) {
        state->onEnd();
    }
}

void ClientSession::onStreamClosed(std::int32_t stream, std::uint32_t code)
{
    if (const auto state = find(stream)) {
        m_streams.erase(stream);
        state->onClosed(code);
    }
}

void ClientSession::onGoaway()
{
    m_goaway = true;
}

void ClientSession::onClosed()
{
    const auto streams = std::exchange(m_streams, {});
    for (const auto &[id, state] : streams) {
        state->onClosed(NGHTTP2_NO_ERROR);
    }
}

std::shared_ptr<ClientStreamState> ClientSession::find(std::int32_t stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second;
}

} // namespace basilhall::transport
