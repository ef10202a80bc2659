// An agent in virtual time with the real dispatch registry and an endpoint that counts executions.
#pragma once

#include "basilhall/base/random_name.h"
#include "basilhall/dispatch/registry.h"
#include "basilhall/entry/testing/virtual_time.h"
#include "basilhall/schedule/fifo_queue.h"
#include "basilhall/wire/wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace basilhall::testing
{

// The executions at all endpoints, for the checks.
struct Executions {
    // Number of executions by idempotency key.
    std::map<std::string, int> services;
    // Generated tokens by root program.
    std::map<std::string, std::uint64_t> tokens;
};

class VirtualAgent
{
public:
    using Reply = std::function<void(const Result<wire::Answer> &)>;

    VirtualAgent(VirtualTime &time, Executions &executions)
        : m_time(time)
        , m_executions(executions)
    {
        restart();
    }

    // Disables the at-most-once rule, to show that the checks can fail.
    bool runsAnyIncarnation = false;

    // Simulates a crash and a restart: running calls are lost.
    void restart()
    {
        ++m_run;
        m_requests.clear();
        m_replies.clear();
        m_incarnation = Incarnation("agent-" + std::to_string(m_time.random(1'000'000'000)));
        dispatch::RegistryLimits limits;
        limits.capacity = 4;
        m_registry = std::make_unique<Registry>(m_incarnation, limits, schedule::FifoQueue());
    }

    const Incarnation &incarnation() const { return m_incarnation; }
    std::uint64_t run() const { return m_run; }

    void dispatchArrived(const wire::DispatchRequest &request, Reply reply)
    {
        dispatch::Dispatch message;
        message.item.callId = CallId(request.call_id());
        message.item.program = ProgramId(request.program_id());
        message.item.team = TeamName(request.team());
        message.item.deadline = m_time.now() + std::chrono::milliseconds(request.timeout_ms());
        message.item.enqueued = m_time.now();
        message.shard = request.shard();
        message.epoch = request.epoch();
        message.agentIncarnation =
            runsAnyIncarnation ? m_incarnation : Incarnation(request.agent_incarnation());
        message.idempotent = request.idempotent();
        m_requests.emplace(request.call_id(), request);
        const dispatch::StreamNumber stream = ++m_lastStream;
        m_replies.emplace(stream, std::move(reply));
        m_streamOfCall.emplace(request.call_id(), stream);
        perform(m_registry->dispatch(stream, message, m_time.now()));
    }

    wire::ResolveReply resolve(const wire::ResolveRequest &request)
    {
        const dispatch::Resolution resolution =
            m_registry->resolve(CallId(request.call_id()), Incarnation(request.agent_incarnation()),
                                request.shard(), request.epoch());
        wire::ResolveReply reply;
        reply.set_state(toWire(resolution.state));
        if (resolution.answer) {
            *reply.mutable_answer() = *resolution.answer;
        }
        return reply;
    }

private:
    using Registry = dispatch::Registry<schedule::FifoQueue>;

    static wire::ResolveReply::State toWire(dispatch::CallState state)
    {
        switch (state) {
        case dispatch::CallState::OtherIncarnation:
            return wire::ResolveReply::STATE_OTHER_INCARNATION;
        case dispatch::CallState::NeverRun:
            return wire::ResolveReply::STATE_NEVER;
        case dispatch::CallState::Running:
            return wire::ResolveReply::STATE_RUNNING;
        case dispatch::CallState::Done:
            return wire::ResolveReply::STATE_DONE;
        case dispatch::CallState::Unknown:
            break;
        }
        return wire::ResolveReply::STATE_UNKNOWN;
    }

    void perform(const dispatch::Actions &actions)
    {
        for (const dispatch::Action &action : actions) {
            if (const auto *start = std::get_if<dispatch::Start>(&action)) {
                run(start->callId);
            } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&action)) {
                answer(refuse->stream, refuse->error);
            } else if (const auto *replay = std::get_if<dispatch::Replay>(&action)) {
                answer(replay->stream, replay->answer);
            }
        }
    }

    // The effect occurs at a random time during the run. A restart before then prevents it.
    void run(const CallId &callId)
    {
        const wire::DispatchRequest request = m_requests.at(callId.value());
        const std::uint64_t thisRun = m_run;
        m_time.after(m_time.randomMillis(0, 40), [this, request, thisRun, callId] {
            if (thisRun != m_run) {
                return;
            }
            const wire::Answer result = execute(request);
            m_time.after(m_time.randomMillis(0, 40), [this, result, thisRun, callId] {
                if (thisRun == m_run) {
                    finish(callId, result);
                }
            });
        });
    }

    wire::Answer execute(const wire::DispatchRequest &request)
    {
        wire::Answer answer;
        answer.set_status(200);
        if (request.kind() == wire::CALL_KIND_SERVICE) {
            ++m_executions.services[request.idempotency_key()];
            answer.set_body("\"" + request.idempotency_key() + "\"");
            return answer;
        }
        const std::uint64_t tokens = 1 + m_time.random(request.max_completion_tokens());
        const std::string root = request.program_id().substr(0, request.program_id().find('.'));
        m_executions.tokens[root] += tokens;
        answer.set_body(R"({"role":"assistant","content":"ok"})");
        answer.mutable_usage()->set_completion_tokens(tokens);
        return answer;
    }

    void finish(const CallId &callId, const wire::Answer &result)
    {
        const auto stream = m_streamOfCall.find(callId.value());
        const dispatch::Actions actions = m_registry->onFinished(
            callId, result, result.usage().completion_tokens(), m_time.now());
        if (stream != m_streamOfCall.end()) {
            answer(stream->second, result);
        }
        perform(actions);
    }

    void answer(dispatch::StreamNumber stream, const Result<wire::Answer> &result)
    {
        const auto reply = m_replies.extract(stream);
        if (reply) {
            reply.mapped()(result);
        }
    }

    VirtualTime &m_time;
    Executions &m_executions;
    std::uint64_t m_run = 0;
    Incarnation m_incarnation;
    std::unique_ptr<Registry> m_registry;
    std::map<std::string, wire::DispatchRequest> m_requests;
    std::map<std::string, dispatch::StreamNumber> m_streamOfCall;
    std::map<dispatch::StreamNumber, Reply> m_replies;
    dispatch::StreamNumber m_lastStream = 0;
};

} // namespace basilhall::testing
