#include "basilhall/gateway/internal/turn_finder.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/turn_search_replies.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

struct Search {
    Search(const asio::any_io_executor &executor, turns::TurnId i, SearchScope s,
           TurnSearchReplies r, std::uint64_t n)
        : id(std::move(i))
        , scope(s)
        , replies(std::move(r))
        , number(n)
        , changed(executor)
    {
    }

    turns::TurnId id;
    SearchScope scope;
    TurnSearchReplies replies;
    // Greater than the numbers of the calls that arrived before the search began.
    std::uint64_t number;
    std::size_t pending = 0;
    bool isFound = false;
    std::optional<TurnSearch> result;
    // An answer has arrived, or the search has ended.
    transport::Signal changed;
};

} // namespace

class TurnFinder::Private : public std::enable_shared_from_this<TurnFinder::Private>
{
public:
    Private(const asio::any_io_executor &e, Incarnation i, Sources s, logging::Log l)
        : executor(e)
        , self(std::move(i))
        , sources(std::move(s))
        , log(std::move(l))
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    static asio::awaitable<void> askOne(std::shared_ptr<Private> self,
                                        std::shared_ptr<Search> search, Incarnation peer,
                                        bool mayReadJournals)
    {
        std::optional<Reply> reply = co_await self->sources.ask(peer, search->id, mayReadJournals);
        --search->pending;
        if (reply) {
            search->isFound = search->isFound || reply->isFound;
            search->replies.add(peer, reply->isComplete, reply->listed);
        }
        search->changed.notify();
    }

    // Asks the peers stage by stage and waits for all answers, or until `isDone`.
    static asio::awaitable<void> ask(std::shared_ptr<Private> self, std::shared_ptr<Search> search,
                                     std::vector<SearchStage> stages, bool mayReadJournals)
    {
        const auto isDone = [search, mayReadJournals] {
            return search->isFound || (mayReadJournals && search->replies.isComplete());
        };
        for (const SearchStage &stage : stages) {
            if (isDone()) {
                co_return;
            }
            for (const Incarnation &peer : stage.peers) {
                ++search->pending;
                asio::co_spawn(self->executor, askOne(self, search, peer, mayReadJournals),
                               asio::detached);
            }
            const Instant deadline = now() + stage.patience;
            asio::steady_timer alarm(self->executor, stage.patience);
            alarm.async_wait([search](boost::system::error_code error) {
                if (!error) {
                    search->changed.notify();
                }
            });
            while (!isDone() && search->pending > 0 && now() < deadline) {
                co_await search->changed.wait();
            }
        }
        while (!isDone() && search->pending > 0) {
            co_await search->changed.wait();
        }
    }

    static asio::awaitable<TurnSearch> searchHolders(std::shared_ptr<Private> self,
                                                     std::shared_ptr<Search> search,
                                                     std::vector<SearchedPeer> peers)
    {
        co_await ask(self, search, searchStages(peers, SearchScope::Holders), false);
        if (search->isFound) {
            co_return TurnSearch::Found;
        }
        co_return search->replies.isComplete() ? TurnSearch::UnknownToHolders
                                               : TurnSearch::Incomplete;
    }

    // Asks all peers for what they have in memory first. Only if none has the turn, a holder reads
    // the journals of gateways that may have kept it unnoticed.
    static asio::awaitable<TurnSearch> searchAll(std::shared_ptr<Private> self,
                                                 std::shared_ptr<Search> search,
                                                 std::vector<SearchedPeer> peers)
    {
        TurnSearchReplies &replies = search->replies;
        co_await ask(self, search, searchStages(peers, SearchScope::AllPeers), false);
        if (search->isFound) {
            co_return TurnSearch::Found;
        }
        if (!replies.isComplete() && co_await self->sources.confirmAllTurns()) {
            replies.setComplete();
        }
        if (self->sources.hasWholeChain(search->id)) {
            co_return TurnSearch::Found;
        }
        if (!replies.isComplete()) {
            co_await ask(self, search, searchStages(peers, SearchScope::Holders), true);
        }
        if (search->isFound) {
            co_return TurnSearch::Found;
        }
        // Without all replies the caller retries, many times while gateways restart.
        if (replies.missing() == 0) {
            self->log.info("No peer knows the turn.", Field("turn", search->id),
                           Field("asked", peers.size()), Field("complete", replies.isComplete()),
                           Field("holder", replies.completeHolder()),
                           Field("all_listed_replied", replies.includeAllListed()));
        }
        co_return replies.verdict();
    }

    static asio::awaitable<void> run(std::shared_ptr<Private> self, std::shared_ptr<Search> search,
                                     std::vector<SearchedPeer> peers)
    {
        if (search->scope == SearchScope::Holders) {
            search->result = co_await searchHolders(self, search, peers);
        } else {
            search->result = co_await searchAll(self, search, peers);
        }
        self->searches.erase({search->scope, search->id});
        search->changed.notify();
    }

    std::shared_ptr<Search> start(const turns::TurnId &id, SearchScope scope)
    {
        std::vector<SearchedPeer> peers = sources.peers();
        auto search = std::make_shared<Search>(executor, id, scope,
                                               TurnSearchReplies(self, peers.size()), ++lastNumber);
        searches[{scope, id}] = search;
        asio::co_spawn(executor, run(shared_from_this(), search, std::move(peers)), asio::detached);
        return search;
    }

    asio::any_io_executor executor;
    Incarnation self;
    Sources sources;
    logging::Log log;
    std::map<std::pair<SearchScope, turns::TurnId>, std::shared_ptr<Search>> searches;
    std::uint64_t lastNumber = 0;
};

TurnFinder::TurnFinder(const asio::any_io_executor &executor, Incarnation self, Sources sources,
                       logging::Log log)
    : d(std::make_shared<Private>(executor, std::move(self), std::move(sources), std::move(log)))
{
}

asio::awaitable<TurnSearch> TurnFinder::find(turns::TurnId id, SearchScope scope)
{
    const auto self = d;
    const std::uint64_t arrival = ++self->lastNumber;
    while (true) {
        const auto running = self->searches.find({scope, id});
        const auto search =
            running == self->searches.end() ? self->start(id, scope) : running->second;
        while (!search->result) {
            co_await search->changed.wait();
        }
        // A turn that was kept after the search began may have been missed.
        if (*search->result == TurnSearch::Found || search->number > arrival) {
            co_return *search->result;
        }
    }
}

} // namespace basilhall::gateway
