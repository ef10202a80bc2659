#include "basilhall/entry/peer_prober.h"

#include "basilhall/entry/ask_peer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <random>

namespace basilhall::entry
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Duration kListInterval = std::chrono::seconds(2);
constexpr Duration kListTimeout = std::chrono::seconds(2);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);
constexpr Duration kProbeCheckInterval = std::chrono::milliseconds(100);

std::string textMember(const json::object &object, std::string_view name)
{
    const auto *const value = object.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

// Returns nothing if the document is malformed. Skips entries without a name or a valid address.
std::optional<std::vector<membership::ListedHost>> parseList(const std::string &body)
{
    boost::system::error_code failure;
    const json::value document = json::parse(body, failure);
    if (failure || !document.is_array()) {
        return std::nullopt;
    }
    std::vector<membership::ListedHost> hosts;
    for (const json::value &entry : document.as_array()) {
        if (!entry.is_object()) {
            continue;
        }
        const std::string name = textMember(entry.as_object(), "name");
        const auto address = parseAddress(textMember(entry.as_object(), "address"));
        if (!name.empty() && address) {
            const bool isLeaving = textMember(entry.as_object(), "state") == "leaving";
            hosts.push_back({HostName(name), address.value(), isLeaving});
        }
    }
    return hosts;
}

asio::awaitable<void> sleepFor(Duration delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

class PeerProber::Private : public std::enable_shared_from_this<PeerProber::Private>
{
public:
    Private(asio::any_io_executor controlExecutor, HostName host,
            transport::StreamClient &streamClient, http::Client &httpClient,
            std::optional<Address> list, std::function<Instant()> clock, std::uint64_t seed,
            AnswerHandler answerHandler)
        : control(std::move(controlExecutor))
        , self(host)
        , streams(streamClient)
        , client(httpClient)
        , hostList(std::move(list))
        , now(std::move(clock))
        , random(seed)
        , onAnswer(std::move(answerHandler))
        , view(std::move(host))
    {
    }

    static asio::awaitable<void> readHostList(std::shared_ptr<Private> self);
    static asio::awaitable<void> probeDuePeers(std::shared_ptr<Private> self);
    static asio::awaitable<void> probe(std::shared_ptr<Private> self, membership::EntryHost peer);
    asio::awaitable<std::optional<wire::PingReply>> ping(Address peer);

    const asio::any_io_executor control;
    const HostName self;
    transport::StreamClient &streams;
    http::Client &client;
    const std::optional<Address> hostList;
    const std::function<Instant()> now;
    std::mt19937_64 random;
    const AnswerHandler onAnswer;
    membership::HostView view;
    bool isStopped = false;
};

PeerProber::PeerProber(asio::any_io_executor control, HostName self,
                       transport::StreamClient &streams, http::Client &client,
                       std::optional<Address> hostList, std::function<Instant()> now,
                       std::uint64_t seed, AnswerHandler onAnswer)
    : d(std::make_shared<Private>(std::move(control), std::move(self), streams, client,
                                  std::move(hostList), std::move(now), seed, std::move(onAnswer)))
{
}

PeerProber::~PeerProber()
{
    stop();
}

void PeerProber::start()
{
    if (d->hostList) {
        asio::co_spawn(d->control, Private::readHostList(d), asio::detached);
    }
    asio::co_spawn(d->control, Private::probeDuePeers(d), asio::detached);
}

void PeerProber::stop()
{
    d->isStopped = true;
}

membership::HostView &PeerProber::view()
{
    return d->view;
}

std::vector<Address> PeerProber::livePeers() const
{
    std::vector<Address> peers;
    for (const membership::EntryHost &host : d->view.hosts()) {
        if (host.state == membership::HostState::Live) {
            peers.push_back(host.address);
        }
    }
    return peers;
}

asio::awaitable<void> PeerProber::Private::readHostList(std::shared_ptr<Private> self)
{
    while (!self->isStopped) {
        http::Request request{"GET", "/hosts", {}, ""};
        const auto response =
            co_await self->client.send(*self->hostList, std::move(request), kListTimeout);
        if (response && response.value().status == 200) {
            if (const auto hosts = parseList(response.value().body)) {
                self->view.onListed(*hosts, self->now());
            }
        }
        co_await sleepFor(kListInterval);
    }
}

asio::awaitable<void> PeerProber::Private::probeDuePeers(std::shared_ptr<Private> self)
{
    while (!self->isStopped) {
        for (membership::EntryHost &peer : self->view.probesDue(self->now(), self->random())) {
            asio::co_spawn(self->control, probe(self, std::move(peer)), asio::detached);
        }
        co_await sleepFor(kProbeCheckInterval);
    }
}

asio::awaitable<void> PeerProber::Private::probe(std::shared_ptr<Private> self,
                                                 membership::EntryHost peer)
{
    const auto reply = co_await self->ping(peer.address);
    if (!reply || HostName(reply->host()) != peer.host) {
        self->view.onProbeFailed(peer.host, self->now());
        co_return;
    }
    self->view.onProbeAnswered(peer.host, Incarnation(reply->incarnation()), reply->draining(),
                               self->now());
    self->onAnswer(peer.address, *reply);
}

asio::awaitable<std::optional<wire::PingReply>> PeerProber::Private::ping(Address peer)
{
    wire::PingRequest request;
    request.set_host(self.value());
    const Result<std::string> answer = co_await askPeer(streams, std::move(peer), "/ping",
                                                        request.SerializeAsString(), kProbeTimeout);
    wire::PingReply reply;
    const bool isAnswer = answer && reply.ParseFromString(answer.value());
    co_return isAnswer ? std::optional(reply) : std::nullopt;
}

} // namespace basilhall::entry
