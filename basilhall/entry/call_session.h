// The state of one call at the owner on this host: its mailbox, its reply sink and its dispatch.
//
//     const auto session = std::make_shared<CallSession>(executor, client, std::move(sink));
//     const SessionMessage message = co_await session->mailbox.take();
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/entry/mailbox.h"
#include "basilhall/entry/reply_sink.h"
#include "basilhall/owner/call_ticket.h"
#include "basilhall/transport/client_stream.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <memory>
#include <variant>

namespace basilhall::entry
{

// The chunk that was being written when the final message arrived has been written.
struct ChunkWritten {
};

// A message to a session from the control thread or from the session's dispatch.
using SessionMessage = std::variant<wire::CallStarted, wire::CallFinished, Error, ChunkWritten>;

// Lives on the traffic thread of its request, except for the mailbox.
struct CallSession {
    CallSession(boost::asio::any_io_executor sessionExecutor, transport::StreamClient &streamClient,
                ReplySink replySink)
        : executor(std::move(sessionExecutor))
        , client(streamClient)
        , sink(std::move(replySink))
        , mailbox(executor)
    {
    }

    const boost::asio::any_io_executor executor;
    transport::StreamClient &client;
    ReplySink sink;
    Mailbox<SessionMessage> mailbox;
    // True once the final message has arrived; later chunks are dropped.
    bool isClosed = false;
    // True while a chunk is being written; the sink takes one reply at a time.
    bool isWriting = false;
    // Non-null while an agent runs the dispatch of this session.
    std::unique_ptr<transport::ClientStream> dispatch;
    bool isDispatchCancelled = false;
};

} // namespace basilhall::entry
