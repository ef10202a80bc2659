// Runs the calls of the programs whose shards a host owns. Calls of a program run in order and
// within its budget, a turn is durable before its caller gets the answer, and a non-idempotent call
// runs at most once.
//
//     Owner owner(writer, chooseEndpoint, incarnation, {});
//     owner.acquireShard(3, 7, records, now);
//     owner.callArrived(ticket, request, now);
//     owner.advance(now);
//     for (Action &action : owner.takeActions()) { ... }
//
// A call goes through these steps: it waits for its turn; its intent is written if it needs one;
// it is dispatched; its turn is written; its callers get the answer. docs/design/owner.md describes
// the whole state machine.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/journal/writer.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/owner/action.h"
#include "basilhall/owner/call_needs.h"
#include "basilhall/owner/endpoint_choice.h"
#include "basilhall/owner/owner_options.h"
#include "basilhall/program/program_table.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::owner
{

// Selects the endpoint of a call, or returns the reason why there is none.
using EndpointChooser = std::function<Result<EndpointChoice>(const CallNeeds &, Instant)>;

// Not thread-safe. Reads no clock and uses no random source.
class Owner
{
public:
    // `writer` must outlive the owner and write the journal of `self`.
    Owner(journal::Writer &writer, EndpointChooser chooseEndpoint, Incarnation self,
          OwnerOptions options);
    ~Owner();
    Owner(const Owner &) = delete;
    Owner &operator=(const Owner &) = delete;

    void setManifest(manifest::ManifestPtr manifest);

    // Takes over a shard at `epoch`. `records` are the records of all earlier owners, in order.
    // Returns Corrupt, which names the program, if the records contradict each other; the shard is
    // then not taken over.
    Result<void> acquireShard(std::uint32_t shard, std::uint64_t epoch,
                              std::span<const journal::Record> records, Instant now);
    // Stops accepting calls for the shard and frees its reservations, so that the shard can be
    // handed over once it is idle and its records are durable.
    void beginRelease(std::uint32_t shard, Instant now);
    // True if no call of the shard is in progress.
    bool isIdle(std::uint32_t shard) const;
    // Discards the state of the shard. Its calls end with NotOwner.
    void dropShard(std::uint32_t shard);
    bool owns(std::uint32_t shard) const;
    // Bytes of records of the shard written by this owner.
    std::uint64_t writtenBytes(std::uint32_t shard) const;
    // Bytes of the turns of the shard's programs.
    std::uint64_t stateBytes(std::uint32_t shard) const;
    std::size_t callsInProgress() const;

    // Accepts a call. Exactly one ReplyFinished or ReplyError follows for `ticket`.
    void callArrived(CallTicket ticket, wire::CallRequest request, Instant now);
    // The caller with `ticket` has disconnected. The final reply to it still follows.
    void callerGone(CallTicket ticket, Instant now);
    // Queries and ends a program on behalf of a caller. The status and the history are JSON
    // documents.
    Result<std::string> programStatus(const wire::ProgramRequest &request) const;
    Result<std::string> programHistory(const wire::ProgramRequest &request) const;
    Result<void> endProgram(const wire::ProgramRequest &request, Instant now);

    // The endpoint has started to answer; `dispatchId` is DispatchRequest::call_id.
    void dispatchStreamed(std::string_view dispatchId);
    // A dispatch has ended with an answer or an error.
    void dispatchEnded(std::string_view dispatchId, const Result<wire::Answer> &result,
                       Instant now);
    // An agent has answered a ResolveCall, or could not be reached.
    void resolved(std::string_view dispatchId, const Result<wire::ResolveReply> &reply,
                  Instant now);
    // An agent reports which programs hold memory at its endpoint.
    void cachedProgramsReported(const Address &agent, std::span<const ProgramId> programs);

    // Processes newly durable records, expired deadlines, outages and idle programs.
    void advance(Instant now);
    // Returns the actions to execute since the last call, in order.
    std::vector<Action> takeActions();

    const program::ProgramTable &programs() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::owner
