#include "basilhall/transport/internal/session_callbacks.h"

#include <memory>
#include <new>

namespace basilhall::transport
{

// Friend of Session, to call its protected event handlers.
struct SessionCallbacks {
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t, void *user)
    {
        of(user).onHeader(frame->hd.stream_id, text(name, nameSize), text(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t stream,
                      const std::uint8_t *data, std::size_t size, void *user)
    {
        // The connection window is released immediately, so an unread stream cannot block others.
        nghttp2_session_consume_connection(session, size);
        of(user).onData(stream, text(data, size));
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            of(user).onEndOfStream(frame->hd.stream_id);
        }
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            of(user).onGoaway();
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t code, void *user)
    {
        of(user).onStreamClosed(stream, code);
        return 0;
    }

    // nghttp2 does not report a stream close for a request that it drops before sending.
    static int onNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            of(user).onStreamClosed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        }
        return 0;
    }

private:
    static Session &of(void *user) { return *static_cast<Session *>(user); }

    static std::string_view text(const std::uint8_t *data, std::size_t size)
    {
        return {reinterpret_cast<const char *>(data), size};
    }
};

namespace
{

using Callbacks =
    std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)>;
using Options = std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)>;

Callbacks makeCallbacks()
{
    nghttp2_session_callbacks *raw = nullptr;
    if (nghttp2_session_callbacks_new(&raw) != 0) {
        throw std::bad_alloc();
    }
    nghttp2_session_callbacks_set_on_header_callback(raw, &SessionCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, &SessionCallbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw, &SessionCallbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw, &SessionCallbacks::onStreamClose);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(raw, &SessionCallbacks::onNotSent);
    return {raw, &nghttp2_session_callbacks_del};
}

Options makeOptions()
{
    nghttp2_option *raw = nullptr;
    if (nghttp2_option_new(&raw) != 0) {
        throw std::bad_alloc();
    }
    nghttp2_option_set_no_auto_window_update(raw, 1);
    return {raw, &nghttp2_option_del};
}

} // namespace

nghttp2_session *createSession(Session &session, Session::Side side)
{
    const Callbacks callbacks = makeCallbacks();
    const Options options = makeOptions();
    const auto create =
        side == Session::Side::Client ? &nghttp2_session_client_new2 : &nghttp2_session_server_new2;
    nghttp2_session *created = nullptr;
    if (create(&created, callbacks.get(), &session, options.get()) != 0) {
        throw std::bad_alloc();
    }
    return created;
}

} // namespace basilhall::transport
