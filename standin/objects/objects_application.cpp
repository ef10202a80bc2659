#include "standin/objects/objects_application.h"

#include "standin/objects/object_table.h"
#include "standin/objects/rate_limit.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <set>

namespace standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view kPrefix = "/apis/basilhall.dev/v1/namespaces/";
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr std::uint64_t kDefaultLimit = 500;
constexpr std::uint64_t kDefaultWatchSeconds = 300;

struct Answer {
    int status;
    std::string body;
};

struct Target {
    // `{namespace}/{plural}`.
    std::string table;
    std::string name;
};

struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t limited = 0;
    std::uint64_t bytesWritten = 0;
};

Answer failure(int code, std::string_view reason, std::string_view message)
{
    return {code,
            json::serialize(json::object{{"kind", "Status"},
                                         {"status", "Failure"},
                                         {"reason", reason},
                                         {"message", message},
                                         {"code", code}})};
}

Answer notFound(const std::string &name)
{
    return failure(404, "NotFound", "object \"" + name + "\" does not exist");
}

std::optional<Target> parseTarget(std::string_view path)
{
    if (!path.starts_with(kPrefix)) {
        return std::nullopt;
    }
    const std::string_view rest = path.substr(kPrefix.size());
    const std::size_t plural = rest.find('/');
    if (plural == std::string_view::npos) {
        return std::nullopt;
    }
    const std::size_t name = rest.find('/', plural + 1);
    if (name == std::string_view::npos) {
        return Target{std::string(rest), {}};
    }
    return Target{std::string(rest.substr(0, name)), std::string(rest.substr(name + 1))};
}

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::stoull(text);
}

std::string_view nameOf(ChangeType type)
{
    switch (type) {
    case ChangeType::Added:
        return "ADDED";
    case ChangeType::Modified:
        return "MODIFIED";
    case ChangeType::Deleted:
        return "DELETED";
    }
    return "";
}

std::string withVersion(json::object document, std::uint64_t version)
{
    document["metadata"].as_object()["resourceVersion"] = std::to_string(version);
    return json::serialize(document);
}

} // namespace

class ObjectsApplication::Private
{
public:
    explicit Private(ObjectsLimits l)
        : limits(l)
        , writeLimit(l.writesPerSecond)
        , readLimit(l.readsPerSecond)
    {
    }

    ObjectTable &table(const std::string &name)
    {
        return tables.try_emplace(name, limits.maxChanges).first->second;
    }

    Answer write(const Request &request, const Target &target)
    {
        ++counts.writes;
        counts.bytesWritten += request.body.size();
        if (!writeLimit.take(RateLimit::Clock::now())) {
            ++counts.limited;
            return failure(429, "TooManyRequests", "the write rate is spent");
        }
        if (request.body.size() > kMaxBodyBytes) {
            return failure(413, "RequestEntityTooLarge", "the limit is 1 MiB");
        }
        if (request.method == "DELETE") {
            return remove(target, request.body);
        }
        const json::object document = json::parse(request.body).as_object();
        return request.method == "POST" ? create(target, document) : replace(target, document);
    }

    Answer create(const Target &target, const json::object &document)
    {
        const auto name = json::value_to<std::string>(document.at("metadata").at("name"));
        ObjectTable &objects = table(target.table);
        if (objects.find(name) != nullptr) {
            ++counts.conflicts;
            return failure(409, "AlreadyExists", "object \"" + name + "\" exists already");
        }
        return put(objects, name, document, 201);
    }

    Answer replace(const Target &target, const json::object &document)
    {
        ObjectTable &objects = table(target.table);
        const StoredObject *stored = objects.find(target.name);
        if (stored == nullptr) {
            return notFound(target.name);
        }
        const json::object &metadata = document.at("metadata").as_object();
        const json::value *version = metadata.if_contains("resourceVersion");
        if (version != nullptr && version->as_string() != std::to_string(stored->version)) {
            ++counts.conflicts;
            return failure(409, "Conflict", "object \"" + target.name + "\" has changed");
        }
        return put(objects, target.name, document, 200);
    }

    Answer put(ObjectTable &objects, const std::string &name, const json::object &document,
               int status)
    {
        const std::uint64_t version = ++lastVersion;
        const std::string text = withVersion(document, version);
        objects.put({name, version, text});
        wakeWatches();
        return {status, text};
    }

    Answer remove(const Target &target, const std::string &options)
    {
        ObjectTable &objects = table(target.table);
        const StoredObject *stored = objects.find(target.name);
        if (stored == nullptr) {
            return notFound(target.name);
        }
        if (!options.empty()) {
            const json::value document = json::parse(options);
            const json::value &expected = document.at("preconditions").at("resourceVersion");
            if (expected.as_string() != std::to_string(stored->version)) {
                ++counts.conflicts;
                return failure(409, "Conflict", "object \"" + target.name + "\" has changed");
            }
        }
        const std::uint64_t version = ++lastVersion;
        const std::string last = withVersion(json::parse(stored->document).as_object(), version);
        objects.remove(target.name, version, last);
        wakeWatches();
        return {200, last};
    }

    Answer read(const Request &request, const Target &target)
    {
        ++counts.reads;
        if (!readLimit.take(RateLimit::Clock::now())) {
            ++counts.limited;
            return failure(429, "TooManyRequests", "the read rate is spent");
        }
        ObjectTable &objects = table(target.table);
        if (target.name.empty()) {
            return list(request, objects);
        }
        const StoredObject *stored = objects.find(target.name);
        return stored == nullptr ? notFound(target.name) : Answer{200, stored->document};
    }

    Answer list(const Request &request, const ObjectTable &objects) const
    {
        const std::uint64_t limit = numberOr(request.parameter("limit"), kDefaultLimit);
        auto next = objects.objects().upper_bound(request.parameter("continue"));
        std::string items;
        std::string last;
        for (std::uint64_t i = 0; i < limit && next != objects.objects().end(); ++i, ++next) {
            items += (items.empty() ? "" : ",") + next->second.document;
            last = next->first;
        }
        const std::string continuation = next == objects.objects().end() ? "" : last;
        const json::object metadata{{"resourceVersion", std::to_string(lastVersion)},
                                    {"continue", continuation}};
        return {200,
                R"({"kind":"List","metadata":)" + json::serialize(metadata) + R"(,"items":[)"
                    + items + "]}"};
    }

    asio::awaitable<void> watch(Exchange &exchange, const Target &target)
    {
        ++counts.watches;
        const Request &request = exchange.request();
        // Without a version, the present objects come first, as added.
        const std::string since = request.parameter("resourceVersion");
        std::uint64_t seen = numberOr(since, lastVersion);
        if (seen < table(target.table).forgottenVersion()) {
            Answer gone = failure(410, "Expired", "the resourceVersion is too old");
            co_await exchange.respond(gone.status, std::move(gone.body));
            co_return;
        }
        const auto deadline = std::chrono::steady_clock::now()
            + std::chrono::seconds(numberOr(request.parameter("timeoutSeconds"),
                                            kDefaultWatchSeconds));
        asio::steady_timer timer(co_await asio::this_coro::executor);
        exchange.onClientGone([&timer] { timer.cancel(); });
        watches.insert(&timer);
        try {
            const std::string present =
                since.empty() ? presentObjects(table(target.table)) : std::string();
            co_await follow(exchange, target, present, seen, deadline, timer);
        } catch (...) {
            watches.erase(&timer);
            throw;
        }
        watches.erase(&timer);
    }

    asio::awaitable<void> follow(Exchange &exchange, const Target &target,
                                 const std::string &present, std::uint64_t seen,
                                 std::chrono::steady_clock::time_point deadline,
                                 asio::steady_timer &timer)
    {
        co_await exchange.beginStream("application/json");
        if (!present.empty()) {
            co_await exchange.write(present);
        }
        while (!exchange.clientGone() && std::chrono::steady_clock::now() < deadline) {
            std::string events = changesSince(table(target.table), seen);
            if (!events.empty()) {
                co_await exchange.write(std::move(events));
                continue;
            }
            timer.expires_at(deadline);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        co_await exchange.endStream();
    }

    static std::string eventLine(ChangeType type, const std::string &document)
    {
        return R"({"type":")" + std::string(nameOf(type)) + R"(","object":)" + document + "}\n";
    }

    static std::string presentObjects(const ObjectTable &objects)
    {
        std::string events;
        for (const auto &[name, object] : objects.objects()) {
            events += eventLine(ChangeType::Added, object.document);
        }
        return events;
    }

    static std::string changesSince(const ObjectTable &objects, std::uint64_t &seen)
    {
        std::string events;
        for (const Change &change : objects.changes()) {
            if (change.version <= seen) {
                continue;
            }
            seen = change.version;
            events += eventLine(change.type, change.document);
        }
        return events;
    }

    void wakeWatches()
    {
        for (asio::steady_timer *timer : watches) {
            timer->cancel();
        }
    }

    ObjectsLimits limits;
    RateLimit writeLimit;
    RateLimit readLimit;
    Counts counts;
    std::map<std::string, ObjectTable> tables;
    std::uint64_t lastVersion = 0;
    std::set<asio::steady_timer *> watches;
};

ObjectsApplication::ObjectsApplication(ObjectsLimits limits)
    : d(std::make_unique<Private>(limits))
{
}

ObjectsApplication::~ObjectsApplication() = default;

asio::awaitable<void> ObjectsApplication::serve(Exchange &exchange)
{
    const Request &request = exchange.request();
    const std::optional<Target> target = parseTarget(request.path);
    if (!target) {
        co_await exchange.respond(404, failure(404, "NotFound", "no such path").body);
        co_return;
    }
    if (request.method == "GET" && !request.parameter("watch").empty()) {
        co_await d->watch(exchange, *target);
        co_return;
    }
    Answer answer =
        request.method == "GET" ? d->read(request, *target) : d->write(request, *target);
    co_await exchange.respond(answer.status, std::move(answer.body));
}

std::optional<std::string> ObjectsApplication::control(const Request &request)
{
    if (request.path != "/control/counts") {
        return std::nullopt;
    }
    const Counts &counts = d->counts;
    return json::serialize(json::object{{"reads", counts.reads},
                                        {"writes", counts.writes},
                                        {"watches", counts.watches},
                                        {"openWatches", d->watches.size()},
                                        {"conflicts", counts.conflicts},
                                        {"limited", counts.limited},
                                        {"bytesWritten", counts.bytesWritten}});
}

} // namespace standin
