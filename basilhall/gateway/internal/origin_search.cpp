#include "basilhall/gateway/internal/origin_search.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/peer_requests.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;

namespace
{

// Time limit for a peer to state where a stream began; it answers from memory.
constexpr Duration kOriginTimeout = std::chrono::milliseconds(150);

struct Search {
    explicit Search(const asio::any_io_executor &executor)
        : changed(executor)
    {
    }

    transport::Signal changed;
    std::size_t unanswered = 0;
    std::optional<resumption::StreamOrigin> origin;
};

asio::awaitable<void> ask(PeerCall call, Address peer, CallId attempt,
                          std::shared_ptr<Search> search)
{
    wire::StreamRequest request;
    request.set_call_id(attempt.value());
    std::string bytes = request.SerializeAsString();
    const auto message =
        co_await call(std::move(peer), kStreamMethod, std::move(bytes), kOriginTimeout);
    wire::StreamReply reply;
    if (message && reply.ParseFromString(*message) && reply.has_stream()) {
        search->origin = fromRecord(reply.stream());
    }
    --search->unanswered;
    search->changed.notify();
}

asio::awaitable<std::optional<resumption::StreamOrigin>> await(std::shared_ptr<Search> search)
{
    while (search->unanswered > 0 && !search->origin) {
        co_await search->changed.wait();
    }
    co_return search->origin;
}

} // namespace

OriginSearch::OriginSearch(const asio::any_io_executor &executor, PeerCall call)
    : m_executor(executor)
    , m_call(std::move(call))
{
}

asio::awaitable<std::optional<resumption::StreamOrigin>>
OriginSearch::find(std::vector<Address> peers, CallId attempt) const
{
    const auto search = std::make_shared<Search>(m_executor);
    search->unanswered = peers.size();
    for (const Address &peer : peers) {
        asio::co_spawn(m_executor, ask(m_call, peer, attempt, search), asio::detached);
    }
    return await(search);
}

} // namespace basilhall::gateway
