// Gateways of one process that are connected to each other and share a store.
//
//     BOOST_FIXTURE_TEST_SUITE(gateway_example, gateway::testing::MeshFixture)
//     connect();
//     BOOST_TEST(keep(*weak, turn("t1")).has_value());
#pragma once

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/peer_mesh.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/store/memory_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace basilhall::gateway::testing
{

namespace asio = boost::asio;
using basilhall::testing::runCoroutine;
using namespace std::chrono_literals;

inline constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
inline const TeamName kTeam("bakers");

struct MeshNode {
    static std::string kindOf(const store::Request &request)
    {
        return std::visit(
            [](const auto &call) -> std::string {
                if constexpr (requires { call.key.kind; }) {
                    return call.key.kind;
                } else {
                    return call.kind;
                }
            },
            request);
    }

    // Answers the calls that were held back, and all later ones.
    void answerStoreCalls()
    {
        isStoreSilent = false;
        for (const auto &answer : std::exchange(held, {})) {
            answer();
        }
    }

    MeshNode(asio::io_context &context, store::MemoryStore &objects, const std::string &name,
             std::uint32_t processorMillis, const std::string &domain = "a")
        : state(Incarnation(name + "-1"), FailureDomain(domain))
        , keeper(
              context.get_executor(),
              [this, &objects](const store::Request &request,
                               const store::OutcomeHandler &handler) {
                  ++calls;
                  ++callsOfKind[kindOf(request)];
                  if (isStoreSilent) {
                      held.push_back(
                          [&objects, request, handler] { handler(objects.apply(request)); });
                      return;
                  }
                  handler(isCutFromStore ? Error(ErrorKind::StoreUnavailable, "cut").withNotRun()
                                         : objects.apply(request));
              },
              HostName(name), state, logging::Log(), registry)
        , mesh(
              context.get_executor(),
              {HostName(name),
               Incarnation(name + "-1"),
               {"127.0.0.1", 0},
               FailureDomain(domain),
               processorMillis},
              state, keeper, logging::Log(),
              [this](const Document &document) {
                  received.push_back(document);
                  mesh.publish(document);
              },
              [this](const Member &member) { onMember(member); },
              [this] { return refreshMembers(); })
    {
        keeper.setRelay([this](std::vector<journal::Record> records) {
            return mesh.relay(std::move(records));
        });
        keeper.setCommit([this](std::vector<journal::Record> records) {
            return mesh.commit(std::move(records));
        });
        keeper.setSearchPeers([this](turns::TurnId id, SearchScope scope) {
            return mesh.findTurn(std::move(id), scope);
        });
        keeper.setAnnounce([this](const journal::TurnKept &turn) { mesh.announce(turn); });
        keeper.setTellSpending(
            [this](ProgramId program) { return mesh.tellSpending(std::move(program)); });
    }

    metrics::Registry registry;
    // Called for each gateway that subscribes.
    std::function<void(const Member &)> onMember = [](const Member &) {};
    // Reads the registrations, which the test has none of.
    std::function<asio::awaitable<Result<void>>()> refreshMembers =
        []() -> asio::awaitable<Result<void>> { co_return success(); };
    // The documents that were fetched from peers.
    std::vector<Document> received;
    FleetState state;
    int calls = 0;
    // Calls by the kind of the object, or of the objects that are listed.
    std::map<std::string, int> callsOfKind;
    bool isCutFromStore = false;
    // While set, calls of this node are not answered.
    bool isStoreSilent = false;
    std::vector<std::function<void()>> held;
    TurnKeeper keeper;
    PeerMesh mesh;
};

inline turns::KeptTurn turn(const std::string &id, const std::string &previous = "")
{
    return {turns::TurnId(id),
            kTeam,
            turns::TurnId(previous),
            "in",
            "out",
            MonotonicClock().wallMillis() + 60'000};
}

// Three gateways of one failure domain; `strong` has the highest CPU limit.
struct MeshFixture {
    MeshFixture()
    {
        for (const auto &node : {strong, middle, weak}) {
            node->keeper.setLoaded();
            node->keeper.setLedgerKnown();
        }
    }

    // Returns a holder of another failure domain that writes for it.
    std::shared_ptr<MeshNode> makeWriter()
    {
        auto writer = std::make_shared<MeshNode>(context, objects, "writer", 400, "b");
        writer->keeper.setLoaded();
        writer->keeper.setLedgerKnown();
        return writer;
    }

    // Connects all nodes to each other and waits until they receive updates.
    void connect()
    {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            std::vector<Member> members;
            for (const auto &node : {strong, middle, weak}) {
                members.push_back(node->mesh.member());
            }
            for (const auto &node : {strong, middle, weak}) {
                node->mesh.setMembers(members);
            }
            asio::steady_timer pause(context);
            while (strong->mesh.reachableCount() + middle->mesh.reachableCount()
                       + weak->mesh.reachableCount()
                   < 6) {
                pause.expires_after(5ms);
                (void)co_await pause.async_wait(kTuple);
            }
        });
    }

    Result<void> keep(MeshNode &node, const turns::KeptTurn &kept)
    {
        Result<void> result = success();
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            result = co_await node.keeper.keep(kept, 2s);
        });
        return result;
    }

    // Flushes all nodes repeatedly until the condition holds.
    void flushUntil(const std::function<bool()> &condition)
    {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            asio::steady_timer pause(context);
            while (!condition()) {
                for (const auto &node : {strong, middle, weak}) {
                    node->mesh.flush();
                }
                pause.expires_after(5ms);
                (void)co_await pause.async_wait(kTuple);
            }
        });
    }

    Result<std::string> prompt(MeshNode &node, const std::string &previous)
    {
        Result<std::string> result = std::string();
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            result = co_await node.keeper.prompt(turns::TurnId(previous), kTeam, "next");
        });
        return result;
    }

    // Connects all nodes; `strong` is the holder and has read all journals.
    void connectWithLoadedHolder()
    {
        connect();
        flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> read = co_await strong->keeper.reader().loadTurns(
                [this] { return strong->mesh.runningGateways(); });
            BOOST_TEST(read.has_value());
        });
    }

    void wait(Duration duration)
    {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            asio::steady_timer timer(context, duration);
            (void)co_await timer.async_wait(kTuple);
        });
    }

    // The registration of `node` is removed because it was silent, and `strong` reads its journal.
    void removeSilent(MeshNode &node)
    {
        for (const auto &other : {strong, middle, weak}) {
            std::vector<Member> members;
            for (const auto &member : {strong, middle, weak}) {
                if (member.get() != &node) {
                    members.push_back(member->mesh.member());
                }
            }
            if (other.get() != &node) {
                other->mesh.setMembers(members);
            }
        }
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> read = co_await strong->keeper.reader().refresh();
            BOOST_TEST(read.has_value());
        });
    }

    Result<turns::Admission> askHome(MeshNode &node, const turns::TurnBudget &asked)
    {
        Result<turns::Admission> result = turns::Admission::Orphaned;
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            result = co_await node.mesh.askHome(asked);
        });
        return result;
    }

    // Requests admission as the forwarder does, until it is known where the home of the program is
    // and its records are durable.
    Result<turns::Admission> admit(MeshNode &node, const turns::TurnBudget &asked)
    {
        Result<turns::Admission> admission = turns::Admission::Elsewhere;
        for (int i = 0; i < 4; ++i) {
            admission = node.state.budgets().admit(asked, MonotonicClock().now());
            if (admission.value() == turns::Admission::Orphaned
                || admission.value() == turns::Admission::Elsewhere) {
                admission = askHome(node, asked);
                if (admission && admission.value() == turns::Admission::Admitted) {
                    node.state.budgets().onGranted(asked, MonotonicClock().now());
                }
            }
            if (!admission || admission.value() == turns::Admission::Admitted
                || admission.value() == turns::Admission::Exhausted) {
                break;
            }
            if (admission.value() == turns::Admission::NeedsRecord) {
                runCoroutine(context, [&]() -> asio::awaitable<void> {
                    const Result<void> covered = co_await node.keeper.cover(asked.program, 2s);
                    BOOST_TEST(covered.has_value());
                });
            }
        }
        return admission;
    }

    asio::io_context context;
    store::MemoryStore objects;
    std::shared_ptr<MeshNode> strong = std::make_shared<MeshNode>(context, objects, "strong", 500);
    std::shared_ptr<MeshNode> middle = std::make_shared<MeshNode>(context, objects, "middle", 200);
    std::shared_ptr<MeshNode> weak = std::make_shared<MeshNode>(context, objects, "weak", 90);
};

} // namespace basilhall::gateway::testing
