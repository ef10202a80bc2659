// A gateway that a test lists as a member: it sends updates, and either does not answer requests
// for turns or answers that it does not know them.
//
//     ScriptedPeer peer(context.get_executor(), "peer-1", "a", 10, ScriptedPeer::Silent);
//     mesh.setMembers({peer.member()});
#pragma once

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/member.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/signal.h"
#include "basilhall/transport/stream_server.h"

#include <memory>
#include <string>

namespace basilhall::gateway::testing
{

// Not thread-safe.
class ScriptedPeer
{
public:
    enum Script { Silent, UnknownTurns };

    ScriptedPeer(const boost::asio::any_io_executor &executor, const std::string &name,
                 const std::string &domain, std::uint32_t processorMillis, Script script)
        : m_member{HostName(name),
                   Incarnation(name + "-1"),
                   {"127.0.0.1", 0},
                   FailureDomain(domain),
                   processorMillis}
        , m_state(std::make_shared<State>(executor, script, m_member.incarnation))
        , m_server(executor, m_member.address,
                   [state = m_state](std::shared_ptr<transport::ServerStream> stream) {
                       return serve(state, std::move(stream));
                   })
    {
        m_member.address = m_server.address();
    }

    const Member &member() const { return m_member; }
    // Number of requests for turns.
    int turnRequests() const { return m_state->turnRequests; }

private:
    struct State {
        State(const boost::asio::any_io_executor &executor, Script s, Incarnation i)
            : never(executor)
            , script(s)
            , incarnation(std::move(i))
        {
        }

        transport::Signal never;
        Script script;
        Incarnation incarnation;
        int turnRequests = 0;
    };

    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state,
                                              std::shared_ptr<transport::ServerStream> stream)
    {
        if (stream->method() == "/updates") {
            wire::Update update;
            update.set_incarnation(state->incarnation.value());
            (void)co_await stream->send(update.SerializeAsString());
        } else if (stream->method() == "/turn") {
            ++state->turnRequests;
            if (state->script == UnknownTurns) {
                wire::TurnReply reply;
                reply.set_incarnation(state->incarnation.value());
                (void)co_await stream->send(reply.SerializeAsString());
                (void)co_await stream->finish();
                co_return;
            }
        }
        co_await state->never.wait();
    }

    Member m_member;
    std::shared_ptr<State> m_state;
    transport::StreamServer m_server;
};

} // namespace basilhall::gateway::testing
