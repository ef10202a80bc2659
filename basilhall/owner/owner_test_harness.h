// A host in virtual time for the tests of Owner: a journal writer, an object API in memory, and
// agents whose answers the test supplies.
//
//     OwnerHarness host(objects);
//     host.call(1, "p", "c1");
//     host.processPending();
//     host.answerDispatch(10);
#pragma once

#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/writer.h"
#include "basilhall/owner/owner.h"
#include "basilhall/store/memory_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::owner
{

inline manifest::ManifestPtr testManifest()
{
    manifest::Content content;
    content.shardCount = 1;
    manifest::Team team;
    team.name = TeamName("haulers");
    team.requestsPerSecond = 100;
    team.programBudgetTokens = 1000;
    content.teams.emplace(team.name, team);
    manifest::Model model;
    model.name = ModelName("m");
    model.maxContextTokens = 10'000;
    model.maxCompletionTokens = 100;
    content.models.emplace(model.name, model);
    manifest::Route dispatching;
    dispatching.name = "dispatch";
    content.routes.emplace(dispatching.name, dispatching);
    manifest::Endpoint endpoint;
    endpoint.name = EndpointName("e1");
    endpoint.agent = Address{"127.0.0.1", 7001};
    content.endpoints.emplace(endpoint.name, endpoint);
    return manifest::Manifest::make(1, std::move(content));
}

class OwnerHarness
{
public:
    explicit OwnerHarness(store::MemoryStore &objects, const std::string &incarnation = "a")
        : m_objects(objects)
        , writer(Incarnation(incarnation), m_ids, {})
        , owner(writer,
                [this](const CallNeeds &, Instant) -> Result<EndpointChoice> {
                    if (noEndpoint) {
                        return Error(ErrorKind::Unavailable, "no endpoint").withNotRun();
                    }
                    return EndpointChoice{EndpointName("e1"), Address{"127.0.0.1", 7001},
                                          Incarnation(agentIncarnation)};
                },
                Incarnation(incarnation), {})
    {
        owner.setManifest(testManifest());
    }

    // Executes the outstanding operations of the writer, then lets the owner process the outcome.
    // Advances the time by eight steps of 25 ms.
    void processPending()
    {
        for (int round = 0; round < 8; ++round) {
            now += std::chrono::milliseconds(25);
            if (!storeIsDown) {
                for (const store::Operation &operation : writer.advance(now)) {
                    writer.onOutcome(operation.id, m_objects.apply(operation.request), now);
                }
            } else {
                for (const store::Operation &operation : writer.advance(now)) {
                    writer.onOutcome(operation.id,
                                     Error(ErrorKind::StoreUnavailable, "down").withNotRun(), now);
                }
            }
            owner.advance(now);
            collectActions();
        }
    }

    void call(CallTicket ticket, const std::string &program, const std::string &callId,
              std::uint64_t turn = 0)
    {
        owner.callArrived(ticket, modelCall(program, callId, turn), now);
        collectActions();
    }

    void serviceCall(CallTicket ticket, const std::string &program, const std::string &callId)
    {
        wire::CallRequest request = modelCall(program, callId, 0);
        request.set_kind(wire::CALL_KIND_SERVICE);
        request.set_route("dispatch");
        owner.callArrived(ticket, request, now);
        collectActions();
    }

    static wire::CallRequest modelCall(const std::string &program, const std::string &callId,
                                       std::uint64_t turn)
    {
        wire::CallRequest request;
        request.set_call_id(callId);
        request.set_team("haulers");
        request.set_program_id(program);
        request.set_program_named(true);
        request.set_kind(wire::CALL_KIND_MODEL);
        request.set_route("m");
        request.set_turn(turn);
        request.set_body(R"({"model":"m","max_tokens":40,"messages":[{"role":"user","content":")"
                         + callId + R"("}]})");
        return request;
    }

    void answerDispatch(std::uint64_t tokens)
    {
        wire::Answer answer;
        answer.set_status(200);
        answer.set_body(R"({"role":"assistant","content":"ok"})");
        answer.mutable_usage()->set_completion_tokens(tokens);
        owner.dispatchEnded(takeDispatch().request.call_id(), answer, now);
        collectActions();
    }

    void failDispatch(const Error &error)
    {
        owner.dispatchEnded(takeDispatch().request.call_id(), error, now);
        collectActions();
    }

    void answerResolve(wire::ResolveReply::State state)
    {
        wire::ResolveReply reply;
        reply.set_state(state);
        reply.mutable_answer()->set_status(200);
        reply.mutable_answer()->set_body("\"sent\"");
        const std::string id = resolves.back().request.call_id();
        resolves.clear();
        owner.resolved(id, reply, now);
        collectActions();
    }

    DispatchCall takeDispatch()
    {
        DispatchCall dispatch = dispatches.front();
        dispatches.erase(dispatches.begin());
        return dispatch;
    }

    // Returns all durable records in the journals of the object store.
    std::vector<journal::Record> journalRecords() const
    {
        std::vector<journal::Record> records;
        for (const auto &[key, object] : m_objects.objects()) {
            const auto batch = journal::decodeBatch(key, object.data);
            if (batch && batch.value().sealed_by().empty()) {
                records.insert(records.end(), batch.value().records().begin(),
                               batch.value().records().end());
            }
        }
        return records;
    }

    void collectActions()
    {
        for (Action &action : owner.takeActions()) {
            if (auto *dispatch = std::get_if<DispatchCall>(&action)) {
                dispatches.push_back(*dispatch);
            } else if (auto *resolve = std::get_if<ResolveCall>(&action)) {
                resolves.push_back(*resolve);
            } else if (auto *cancel = std::get_if<CancelDispatch>(&action)) {
                cancelled.push_back(cancel->dispatchId);
            } else if (auto *release = std::get_if<ReleaseProgram>(&action)) {
                released.push_back(release->request.program_id());
            } else if (auto *finished = std::get_if<ReplyFinished>(&action)) {
                ++replies[finished->ticket];
                finishedCalls.insert_or_assign(finished->ticket, finished->finished);
            } else if (auto *error = std::get_if<ReplyError>(&action)) {
                ++replies[error->ticket];
                errors.insert_or_assign(error->ticket, error->error);
            }
        }
    }

private:
    store::MemoryStore &m_objects;
    store::OperationIdSource m_ids;

public:
    journal::Writer writer;
    Owner owner;
    Instant now{std::chrono::hours(1)};
    std::string agentIncarnation = "agent-1";
    bool noEndpoint = false;
    bool storeIsDown = false;
    std::vector<DispatchCall> dispatches;
    std::vector<ResolveCall> resolves;
    std::vector<std::string> cancelled;
    std::vector<std::string> released;
    std::map<CallTicket, int> replies;
    std::map<CallTicket, wire::CallFinished> finishedCalls;
    std::map<CallTicket, Error> errors;
};

} // namespace basilhall::owner
