// Connects the C callbacks of nghttp2 to a Session.
//
//     nghttp2_session *handle = createSession(session, Session::Side::Client);
#pragma once

#include "basilhall/transport/internal/session.h"

namespace basilhall::transport
{

// Returns a new nghttp2 session that reports its events to `session`. Free it with
// nghttp2_session_del().
// Throws std::bad_alloc.
nghttp2_session *createSession(Session &session, Session::Side side);

} // namespace basilhall::transport
