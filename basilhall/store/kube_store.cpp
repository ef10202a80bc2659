#include "basilhall/store/kube_store.h"

#include "basilhall/http/client.h"
#include "basilhall/store/internal/kube_document.h"
#include "basilhall/store/internal/kube_error.h"
#include "basilhall/store/internal/kube_target.h"
#include "basilhall/store/internal/kube_watcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace basilhall::store
{

namespace asio = boost::asio;

namespace
{

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

void rethrow(const std::exception_ptr &error)
{
    if (error) {
        std::rethrow_exception(error);
    }
}

http::Request makeRequest(std::string method, std::string target, std::string body)
{
    http::Request request;
    request.method = std::move(method);
    request.target = std::move(target);
    if (!body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = std::move(body);
    return request;
}

} // namespace

class KubeStore::Private : public std::enable_shared_from_this<KubeStore::Private>
{
public:
    Private(const asio::any_io_executor &e, http::Client &c, Address s, std::string nameSpace,
            Duration t)
        : executor(e)
        , client(c)
        , server(std::move(s))
        , targets(std::move(nameSpace))
        , timeout(t)
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<Private> self, Request request,
                                     OutcomeHandler handler)
    {
        Outcome outcome = co_await self->perform(request);
        handler(std::move(outcome));
    }

    asio::awaitable<Outcome> perform(const Request &request)
    {
        const Result<void> valid = checkRequest(request);
        if (!valid) {
            co_return valid.error();
        }
        const std::string description = describe(request);
        if (const auto *create = std::get_if<Create>(&request)) {
            std::string body = encodeObject(create->key, create->data, {}, targets.nameSpace());
            co_return co_await write("POST", targets.collection(create->key.kind), std::move(body),
                                     create->key, description);
        }
        if (const auto *update = std::get_if<Update>(&request)) {
            std::string body =
                encodeObject(update->key, update->data, update->expected, targets.nameSpace());
            co_return co_await write("PUT", targets.object(update->key), std::move(body),
                                     update->key, description);
        }
        if (const auto *remove = std::get_if<Remove>(&request)) {
            co_return co_await erase(*remove, description);
        }
        if (const auto *list = std::get_if<List>(&request)) {
            co_return co_await listAll(*list, description);
        }
        co_return co_await read(std::get<Read>(request).key, description);
    }

    asio::awaitable<Outcome> write(std::string method, std::string target, std::string body,
                                   const ObjectKey &key, const std::string &description)
    {
        http::Request request = makeRequest(std::move(method), std::move(target), std::move(body));
        const Result<http::Response> response =
            co_await call(std::move(request), true, description);
        if (!response) {
            co_return response.error();
        }
        Result<Object> object = decodeObject(key, response.value().body);
        if (!object) {
            // The write took effect according to the status, but its new version is unknown.
            co_return Error(ErrorKind::StoreUnavailable,
                            description + ": " + object.error().message());
        }
        co_return std::vector<Object>{std::move(object).value()};
    }

    asio::awaitable<Outcome> erase(const Remove &remove, const std::string &description)
    {
        std::string body = remove.expected ? encodeRemoval(*remove.expected) : std::string();
        http::Request request = makeRequest("DELETE", targets.object(remove.key), std::move(body));
        const Result<http::Response> response =
            co_await call(std::move(request), true, description);
        if (!response) {
            co_return response.error();
        }
        co_return std::vector<Object>();
    }

    asio::awaitable<Outcome> read(const ObjectKey &key, const std::string &description)
    {
        http::Request request = makeRequest("GET", targets.object(key), {});
        const Result<http::Response> response =
            co_await call(std::move(request), false, description);
        if (!response) {
            co_return response.error();
        }
        Result<Object> object = decodeObject(key, response.value().body);
        if (!object) {
            co_return object.error();
        }
        co_return std::vector<Object>{std::move(object).value()};
    }

    asio::awaitable<Outcome> listAll(const List &list, const std::string &description)
    {
        std::vector<Object> matches;
        std::string continuation;
        do {
            http::Request request =
                makeRequest("GET", targets.page(list.kind, kPageObjects, continuation), {});
            const Result<http::Response> response =
                co_await call(std::move(request), false, description);
            if (!response) {
                co_return response.error();
            }
            Result<KubePage> page = decodePage(list.kind, response.value().body);
            if (!page) {
                co_return page.error();
            }
            for (Object &object : page.value().objects) {
                if (object.key.name.starts_with(list.prefix) && object.key.name > list.after) {
                    matches.push_back(std::move(object));
                }
            }
            continuation = page.value().continuation;
        } while (!continuation.empty());
        co_return matches;
    }

    // Returns a response whose status is 2xx, or the error for the outcome.
    asio::awaitable<Result<http::Response>> call(http::Request request, bool isWrite,
                                                 std::string description)
    {
        Result<http::Response> response = co_await client.send(server, request, timeout);
        if (!response && response.error().kind() == ErrorKind::ConnectionLost
            && (!isWrite || response.error().notRun())) {
            response = co_await client.send(server, std::move(request), timeout);
        }
        if (!response) {
            co_return errorFromTransport(description, isWrite, response.error());
        }
        if (!isSuccess(response.value().status)) {
            co_return errorFromStatus(description, isWrite, response.value().status,
                                      response.value().headers);
        }
        co_return response;
    }

    asio::any_io_executor executor;
    http::Client &client;
    Address server;
    KubeTarget targets;
    Duration timeout;
};

KubeStore::KubeStore(const asio::any_io_executor &executor, http::Client &client, Address server,
                     std::string nameSpace, Duration timeout)
    : d(std::make_shared<Private>(executor, client, std::move(server), std::move(nameSpace),
                                  timeout))
{
}

KubeStore::~KubeStore() = default;

void KubeStore::execute(Request request, OutcomeHandler handler)
{
    asio::co_spawn(d->executor, Private::run(d, std::move(request), std::move(handler)), rethrow);
}

std::unique_ptr<KubeWatch> KubeStore::watch(std::string kind, ResourceVersion since,
                                            Duration length, EventHandler onEvent,
                                            EndHandler onEnded)
{
    std::string target = d->targets.watch(kind, since, length);
    auto watcher =
        std::make_shared<KubeWatcher>(std::move(kind), std::move(onEvent), std::move(onEnded));
    asio::co_spawn(d->executor,
                   watcher->run(d->client, d->server, std::move(target), d->timeout, length),
                   rethrow);
    return std::make_unique<KubeWatcher::Handle>(watcher);
}

} // namespace basilhall::store
