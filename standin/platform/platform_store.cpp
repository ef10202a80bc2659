#include "standin/platform/platform_store.h"

#include "basilhall/http/server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <optional>
#include <vector>

namespace standin
{

namespace asio = boost::asio;
namespace http = basilhall::http;
namespace json = boost::json;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kPrefix = "/v1/objects/";
constexpr std::size_t kPageObjects = 500;
constexpr auto kWatchCheck = std::chrono::milliseconds(5);

struct Key {
    std::string kind;
    std::string name;
    auto operator<=>(const Key &) const = default;
};

struct Object {
    std::uint64_t revision = 0;
    json::value content;
    json::value status;
};

struct Change {
    Key key;
    std::uint64_t revision = 0;
    json::value object;
    bool isRemoved = false;
};

struct Target {
    Key key;
    bool isStatus = false;
    std::map<std::string, std::string> query;
};

Target parseTarget(const std::string &text)
{
    Target target;
    const std::size_t mark = text.find('?');
    std::string path = text.substr(kPrefix.size(), mark - kPrefix.size());
    if (path.ends_with("/status")) {
        target.isStatus = true;
        path.resize(path.size() - std::string("/status").size());
    }
    const std::size_t slash = path.find('/');
    target.key.kind = path.substr(0, slash);
    target.key.name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::string rest = mark == std::string::npos ? "" : text.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string item = rest.substr(0, end);
        const std::size_t equals = item.find('=');
        target.query[item.substr(0, equals)] = item.substr(equals + 1);
        rest.erase(0, std::min(end + 1, rest.size()));
    }
    return target;
}

json::value encode(const Key &key, const Object &object)
{
    return json::object{
        {"metadata", json::object{{"name", key.name}, {"revision", object.revision}}},
        {"specification", object.content},
        {"status", object.status}};
}

http::Response answer(int status, const json::value &body)
{
    http::Response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

http::Response emptyAnswer(int status)
{
    return answer(status, json::object{});
}

std::optional<std::uint64_t> expectedRevision(const json::value &body)
{
    const json::value *metadata = body.as_object().if_contains("metadata");
    const json::value *revision =
        metadata == nullptr ? nullptr : metadata->as_object().if_contains("revision");
    if (revision == nullptr) {
        return std::nullopt;
    }
    return revision->to_number<std::uint64_t>();
}

} // namespace

class PlatformStore::Private : public std::enable_shared_from_this<PlatformStore::Private>
{
public:
    explicit Private(const asio::any_io_executor &e)
        : executor(e)
        , server(e, {"127.0.0.1", 0}, {}, [this](std::shared_ptr<http::Exchange> exchange) {
            return serve(std::move(exchange));
        })
    {
    }

    asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        const http::Request &request = exchange->request();
        const bool isWrite = request.method != "GET";
        ++(isWrite ? writes : reads);
        if (fault == Fault::Silent) {
            co_await forever(exchange);
            co_return;
        }
        if (fault == Fault::Busy) {
            (void)co_await exchange->respond(emptyAnswer(503));
            co_return;
        }
        const Target target = parseTarget(request.target);
        if (target.query.contains("watch_stream")) {
            co_await watch(exchange, target);
            co_return;
        }
        http::Response response = apply(request, target);
        if (isWrite && fault == Fault::LosesAnswers) {
            co_await forever(exchange);
            co_return;
        }
        (void)co_await exchange->respond(std::move(response));
    }

    // Until the client gives up.
    asio::awaitable<void> forever(std::shared_ptr<http::Exchange> exchange)
    {
        asio::steady_timer never(executor, std::chrono::steady_clock::time_point::max());
        exchange->onClientGone([&never] { never.cancel(); });
        (void)co_await never.async_wait(kTuple);
        exchange->abort();
    }

    http::Response apply(const http::Request &request, const Target &target)
    {
        if (request.method == "GET") {
            return target.key.name.empty() ? list(target) : read(target.key);
        }
        if (request.method == "DELETE") {
            return remove(target);
        }
        const json::value body = json::parse(request.body);
        if (request.method == "POST") {
            const Key key{target.key.kind, std::string(body.at("metadata").at("name").as_string())};
            if (objects.contains(key)) {
                return answer(409, encode(key, objects.at(key)));
            }
            set(key, body.at("specification"));
            return answer(200, encode(key, objects.at(key)));
        }
        return replace(target, body);
    }

    http::Response remove(const Target &target)
    {
        const auto found = objects.find(target.key);
        if (found == objects.end()) {
            return answer(404, json::object{});
        }
        const auto expected = target.query.find("revision");
        if (expected != target.query.end()
            && std::stoull(expected->second) != found->second.revision) {
            return answer(409, encode(target.key, found->second));
        }
        erase(target.key);
        return answer(200, json::object{});
    }

    http::Response replace(const Target &target, const json::value &body)
    {
        const auto found = objects.find(target.key);
        if (found == objects.end()) {
            return answer(404, json::object{});
        }
        const auto expected = expectedRevision(body);
        if (expected && *expected != found->second.revision) {
            return answer(409, encode(target.key, found->second));
        }
        if (target.isStatus) {
            found->second.status = body.at("status");
            note(target.key, found->second, false);
        } else {
            set(target.key, body.at("specification"));
        }
        return answer(200, encode(target.key, found->second));
    }

    http::Response read(const Key &key) const
    {
        const auto found = objects.find(key);
        return found == objects.end() ? answer(404, json::object{})
                                      : answer(200, encode(key, found->second));
    }

    http::Response list(const Target &target) const
    {
        json::array items;
        bool hasMore = false;
        const auto after = target.query.find("after");
        const Key from{target.key.kind, after == target.query.end() ? "" : after->second};
        for (auto it = objects.upper_bound(from);
             it != objects.end() && it->first.kind == target.key.kind; ++it) {
            if (items.size() == kPageObjects) {
                hasMore = true;
                break;
            }
            items.push_back(encode(it->first, it->second));
        }
        return answer(
            200,
            json::object{{"items", std::move(items)}, {"has_more", hasMore}, {"at", revision}});
    }

    asio::awaitable<void> watch(std::shared_ptr<http::Exchange> exchange, const Target &target)
    {
        const std::uint64_t since = std::stoull(target.query.at("watch_stream"));
        const auto end = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::stoll(target.query.at("wait_timeout_ms")));
        asio::steady_timer pause(executor);
        bool isGone = false;
        exchange->onClientGone([&isGone] { isGone = true; });
        while (!isGone) {
            if (since < historyStart) {
                (void)co_await exchange->respond(emptyAnswer(410));
                co_return;
            }
            if (fault == Fault::Silent) {
                co_await forever(exchange);
                co_return;
            }
            json::array events = changesAfter(target.key.kind, since);
            const bool isOver = std::chrono::steady_clock::now() >= end;
            if ((!events.empty() && fault != Fault::SilentWatches) || isOver) {
                (void)co_await exchange->respond(changesAnswer(std::move(events)));
                co_return;
            }
            pause.expires_after(kWatchCheck);
            (void)co_await pause.async_wait(kTuple);
        }
    }

    http::Response changesAnswer(json::array events) const
    {
        return answer(200, json::object{{"events", std::move(events)}, {"at", revision}});
    }

    json::array changesAfter(const std::string &kind, std::uint64_t since) const
    {
        json::array events;
        for (const Change &change : history) {
            if (change.revision > since && change.key.kind == kind) {
                events.push_back(json::object{{"deleted", change.isRemoved},
                                              {"resource_object", change.object}});
            }
        }
        return events;
    }

    void set(const Key &key, json::value content)
    {
        Object &object = objects[key];
        object.content = std::move(content);
        note(key, object, false);
    }

    void erase(const Key &key)
    {
        Object object = objects.at(key);
        objects.erase(key);
        note(key, object, true);
    }

    void note(const Key &key, Object &object, bool isRemoved)
    {
        object.revision = ++revision;
        history.push_back({key, revision, encode(key, object), isRemoved});
    }

    asio::any_io_executor executor;
    std::map<Key, Object> objects;
    std::vector<Change> history;
    std::uint64_t historyStart = 0;
    std::uint64_t revision = 1;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    Fault fault = Fault::None;
    http::Server server;
};

PlatformStore::PlatformStore(const asio::any_io_executor &executor)
    : d(std::make_shared<Private>(executor))
{
}

PlatformStore::~PlatformStore() = default;

basilhall::Address PlatformStore::address() const
{
    return d->server.address();
}

void PlatformStore::setFault(Fault fault)
{
    d->fault = fault;
}

void PlatformStore::put(const std::string &kind, const std::string &name,
                        const std::string &content)
{
    d->set({kind, name}, json::parse(content));
}

void PlatformStore::remove(const std::string &kind, const std::string &name)
{
    d->erase({kind, name});
}

void PlatformStore::dropHistory()
{
    d->history.clear();
    d->historyStart = d->revision;
}

std::string PlatformStore::status(const std::string &kind, const std::string &name) const
{
    const auto found = d->objects.find({kind, name});
    return found == d->objects.end() || found->second.status.is_null()
        ? ""
        : json::serialize(found->second.status);
}

std::uint64_t PlatformStore::writes() const
{
    return d->writes;
}

std::uint64_t PlatformStore::reads() const
{
    return d->reads;
}

} // namespace standin
