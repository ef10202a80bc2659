#include "standin/engine/engine_application.h"

#include "standin/engine/batch_slots.h"
#include "standin/engine/cache_events.h"
#include "standin/engine/chat.h"
#include "standin/engine/completion.h"
#include "standin/engine/lagged.h"
#include "standin/engine/prefix_cache.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr std::string_view kSessions = "/v1/sessions/";

struct Load {
    std::size_t running = 0;
    std::size_t queued = 0;
    std::uint64_t cacheTokens = 0;
    std::size_t sessions = 0;
};

// What one call needs from its start to its end.
struct Call {
    std::string session;
    std::string id;
    ChatRequest request;
    CompletionUsage usage;
    std::vector<std::string> words;
};

int priorityFrom(const std::string &text)
{
    if (text == "urgent") {
        return 1;
    }
    if (text == "batch") {
        return -1;
    }
    return std::atoi(text.c_str());
}

std::string errorDocument(const std::string &message)
{
    return json::serialize(json::object{{"error", json::object{{"message", message}}}});
}

} // namespace

class EngineApplication::Private
{
public:
    explicit Private(EngineOptions o)
        : options(std::move(o))
        , slots(options.maxBatch)
        , cache(options.cacheTokens, [this](const std::string &session, std::uint64_t tokens) {
            events.add(session, tokens, Clock::now());
        })
    {
        load.setLag(options.loadLag);
        events.setLag(options.cacheEventLag);
        events.setLossShare(options.cacheEventLossShare);
    }

    // Returns false if the order is older than one that the session has seen.
    bool admitFence(const std::string &session, const Request &request)
    {
        const std::string text = request.header("x-fencing-token");
        if (text.empty() || session.empty()) {
            return true;
        }
        const std::uint64_t number = std::stoull(text);
        std::uint64_t &highest = highestFence[session];
        if (number < highest) {
            ++staleOrders;
            return !options.fencing;
        }
        highest = number;
        return true;
    }

    asio::awaitable<void> complete(Exchange &exchange)
    {
        const Request &request = exchange.request();
        Call call;
        call.session = request.header("x-session-id");
        call.id = request.header("x-request-id");
        call.request = parseChat(request.body);
        if (call.request.model != options.model) {
            co_await exchange.respond(
                404, errorDocument("model \"" + call.request.model + "\" does not exist"));
            co_return;
        }
        if (!admitFence(call.session, request)) {
            co_await exchange.respond(409, errorDocument("the fencing token is stale"));
            co_return;
        }
        ++executions[call.id];
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const auto waiter = BatchSlots::makeWaiter(timer.get_executor(),
                                                   priorityFrom(request.header("x-priority")));
        exchange.onClientGone([&timer, waiter] {
            BatchSlots::cancel(*waiter);
            timer.cancel();
        });
        const bool started = co_await slots.acquire(waiter);
        if (!started) {
            ++cancelled;
            co_return;
        }
        reportLoad();
        try {
            co_await run(exchange, call, timer);
        } catch (...) {
            finish();
            ++cancelled;
            throw;
        }
        finish();
    }

    void finish()
    {
        slots.release();
        reportLoad();
    }

    asio::awaitable<void> run(Exchange &exchange, Call &call, asio::steady_timer &timer)
    {
        prepare(call);
        co_await prefill(exchange, call, timer);
        if (call.request.stream) {
            co_await streamAnswer(exchange, call, timer);
            co_return;
        }
        const auto decode = options.tokenInterval * static_cast<long>(call.words.size());
        co_await pause(exchange, Clock::now() + decode, timer);
        std::string text = remember(call);
        co_await exchange.respond(
            200, completionDocument(call.id, call.request.model, text, call.usage));
    }

    void prepare(Call &call)
    {
        const std::vector<ChatMessage> &messages = call.request.messages;
        call.words = answerWords(messages, answerTokens(call.request, options.answerTokens));
        call.usage.promptTokens = tokensOf(messages);
        call.usage.cachedTokens = cache.cachedTokens(call.session, messages);
        call.usage.completionTokens = call.words.size();
        promptTokens += call.usage.promptTokens;
        cachedTokens += call.usage.cachedTokens;
    }

    // Prompts are computed one after another, whatever the batch.
    asio::awaitable<void> prefill(Exchange &exchange, const Call &call, asio::steady_timer &timer)
    {
        const double tokens =
            static_cast<double>(call.usage.promptTokens - call.usage.cachedTokens);
        const std::chrono::duration<double> need(tokens / options.prefillTokensPerSecond);
        prefillFreeAt = std::max(prefillFreeAt, Clock::now())
            + std::chrono::duration_cast<Clock::duration>(need);
        co_await pause(exchange, prefillFreeAt, timer);
    }

    asio::awaitable<void> streamAnswer(Exchange &exchange, Call &call, asio::steady_timer &timer)
    {
        const std::string &model = call.request.model;
        co_await exchange.beginStream("text/event-stream");
        Clock::time_point next = Clock::now();
        for (const std::string &word : call.words) {
            next += options.tokenInterval;
            co_await pause(exchange, next, timer);
            co_await exchange.write(completionChunk(call.id, model, word));
        }
        co_await exchange.write(finishChunk(call.id, model));
        if (call.request.includeUsage) {
            co_await exchange.write(usageChunk(call.id, model, call.usage));
        }
        remember(call);
        co_await exchange.write("data: [DONE]\n\n");
        co_await exchange.endStream();
    }

    // Throws if the client went away meanwhile.
    asio::awaitable<void> pause(Exchange &exchange, Clock::time_point until,
                                asio::steady_timer &timer) const
    {
        if (!options.instant && until > Clock::now()) {
            timer.expires_at(until);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (exchange.clientGone()) {
            throw boost::system::system_error(asio::error::connection_aborted);
        }
    }

    // Leaves prompt and answer in the cache and returns the answer's text.
    std::string remember(const Call &call)
    {
        std::string text = answerText(call.request.messages, call.words.size());
        std::vector<ChatMessage> messages = call.request.messages;
        messages.push_back({"assistant", text});
        cache.store(call.session, messages);
        return text;
    }

    void reportLoad()
    {
        load.set({slots.running(), slots.queued(), cache.tokens(), cache.sessions()}, Clock::now());
    }

    std::string loadDocument()
    {
        const Load seen = load.read(Clock::now());
        return json::serialize(json::object{{"running", seen.running},
                                            {"queued", seen.queued},
                                            {"capacity", options.maxBatch},
                                            {"cacheTokens", seen.cacheTokens},
                                            {"sessions", seen.sessions}});
    }

    std::string modelsDocument() const
    {
        json::array models;
        models.push_back(json::object{{"id", options.model}, {"object", "model"}});
        return json::serialize(json::object{{"object", "list"}, {"data", models}});
    }

    EngineOptions options;
    BatchSlots slots;
    CacheEvents events;
    PrefixCache cache;
    Lagged<Load> load;
    Clock::time_point prefillFreeAt;
    std::map<std::string, std::uint64_t> executions;
    std::map<std::string, std::uint64_t> highestFence;
    std::uint64_t staleOrders = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

EngineApplication::EngineApplication(EngineOptions options)
    : d(std::make_unique<Private>(std::move(options)))
{
}

EngineApplication::~EngineApplication() = default;

asio::awaitable<void> EngineApplication::serve(Exchange &exchange)
{
    const Request &request = exchange.request();
    int status = 200;
    std::string body;
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        co_await d->complete(exchange);
        co_return;
    }
    if (request.path == "/v1/load") {
        body = d->loadDocument();
    } else if (request.path == "/v1/models") {
        body = d->modelsDocument();
    } else if (request.path == "/v1/cache/events") {
        const std::string after = request.parameter("after");
        body = d->events.after(after.empty() ? 0 : std::stoull(after), Clock::now());
    } else if (request.path.starts_with(kSessions) && request.method == "DELETE") {
        const std::string session = request.path.substr(kSessions.size());
        const bool admitted = d->admitFence(session, request);
        const bool held = admitted && d->cache.remove(session);
        d->reportLoad();
        status = admitted ? 200 : 409;
        body = json::serialize(json::object{{"freed", held}});
    } else {
        status = 404;
        body = errorDocument("path \"" + request.path + "\" does not exist");
    }
    co_await exchange.respond(status, std::move(body));
}

std::optional<std::string> EngineApplication::control(const Request &request)
{
    json::object byName;
    if (request.path == "/control/sessions") {
        for (const auto &[session, tokens] : d->cache.tokensBySession()) {
            byName[session] = tokens;
        }
        return json::serialize(json::object{{"tokens", d->cache.tokens()}, {"bySession", byName}});
    }
    if (request.path == "/control/executions") {
        for (const auto &[call, count] : d->executions) {
            byName[call] = count;
        }
        return json::serialize(json::object{{"byCall", byName},
                                            {"cancelled", d->cancelled},
                                            {"staleOrders", d->staleOrders},
                                            {"running", d->slots.running()},
                                            {"queued", d->slots.queued()},
                                            {"promptTokens", d->promptTokens},
                                            {"cachedTokens", d->cachedTokens}});
    }
    return std::nullopt;
}

void EngineApplication::configure(const json::object &fields)
{
    using std::chrono::milliseconds;
    if (const json::value *lag = fields.if_contains("loadLagMs")) {
        d->load.setLag(milliseconds(lag->to_number<int>()));
    }
    if (const json::value *lag = fields.if_contains("cacheEventLagMs")) {
        d->events.setLag(milliseconds(lag->to_number<int>()));
    }
    if (const json::value *share = fields.if_contains("cacheEventLossShare")) {
        d->events.setLossShare(share->to_number<double>());
    }
    if (const json::value *interval = fields.if_contains("tokenIntervalMs")) {
        d->options.tokenInterval = milliseconds(interval->to_number<int>());
    }
    if (const json::value *speed = fields.if_contains("prefillTokensPerSecond")) {
        d->options.prefillTokensPerSecond = speed->to_number<double>();
    }
    if (const json::value *fencing = fields.if_contains("fencing")) {
        d->options.fencing = fencing->as_bool();
    }
}

} // namespace standin
