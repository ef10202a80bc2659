#include "basilhall/store/kube_store.h"

#include "basilhall/http/client.h"
#include "basilhall/store/internal/kube_answer.h"
#include "basilhall/store/internal/kube_document.h"
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

http::Request requestFor(std::string method, std::string target, std::string body)
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
        const std::string what = describe(request);
        if (const auto *create = std::get_if<Create>(&request)) {
            std::string body = encodeObject(create->key, create->data, {}, targets.nameSpace());
            co_return co_await write("POST", targets.collection(create->key.kind), std::move(body),
                                     create->key, what);
        }
        if (const auto *update = std::get_if<Update>(&request)) {
            std::string body =
                encodeObject(update->key, update->data, update->expected, targets.nameSpace());
            co_return co_await write("PUT", targets.object(update->key), std::move(body),
                                     update->key, what);
        }
        if (const auto *remove = std::get_if<Remove>(&request)) {
            co_return co_await erase(remove->key, what);
        }
        if (const auto *list = std::get_if<List>(&request)) {
            co_return co_await readAll(*list, what);
        }
        co_return co_await read(std::get<Read>(request).key, what);
    }

    asio::awaitable<Outcome> write(std::string method, std::string target, std::string body,
                                   const ObjectKey &key, const std::string &what)
    {
        http::Request request = requestFor(std::move(method), std::move(target), std::move(body));
        const Result<http::Response> answer = co_await call(std::move(request), true, what);
        if (!answer) {
            co_return answer.error();
        }
        Result<Object> object = decodeObject(key, answer.value().body);
        if (!object) {
            // The status says that the write took effect, but not as which version.
            co_return Error(ErrorKind::StoreUnavailable, what + ": " + object.error().message());
        }
        co_return std::vector<Object>{std::move(object).value()};
    }

    asio::awaitable<Outcome> erase(const ObjectKey &key, const std::string &what)
    {
        http::Request request = requestFor("DELETE", targets.object(key), {});
        const Result<http::Response> answer = co_await call(std::move(request), true, what);
        if (!answer) {
            co_return answer.error();
        }
        co_return std::vector<Object>();
    }

    asio::awaitable<Outcome> read(const ObjectKey &key, const std::string &what)
    {
        http::Request request = requestFor("GET", targets.object(key), {});
        const Result<http::Response> answer = co_await call(std::move(request), false, what);
        if (!answer) {
            co_return answer.error();
        }
        Result<Object> object = decodeObject(key, answer.value().body);
        if (!object) {
            co_return object.error();
        }
        co_return std::vector<Object>{std::move(object).value()};
    }

    asio::awaitable<Outcome> readAll(const List &list, const std::string &what)
    {
        std::vector<Object> matches;
        std::string continuation;
        do {
            http::Request request =
                requestFor("GET", targets.page(list.kind, kPageObjects, continuation), {});
            const Result<http::Response> answer = co_await call(std::move(request), false, what);
            if (!answer) {
                co_return answer.error();
            }
            Result<KubePage> page = decodePage(list.kind, answer.value().body);
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

    // Returns an answer whose status is 2xx, or the error that the outcome carries.
    asio::awaitable<Result<http::Response>> call(http::Request request, bool isWrite,
                                                 std::string what)
    {
        Result<http::Response> answer = co_await client.send(server, request, timeout);
        if (!answer && answer.error().kind() == ErrorKind::ConnectionLost
            && (!isWrite || answer.error().notRun())) {
            answer = co_await client.send(server, std::move(request), timeout);
        }
        if (!answer) {
            co_return errorFromTransport(what, isWrite, answer.error());
        }
        if (!isSuccess(answer.value().status)) {
            co_return errorFromStatus(what, isWrite, answer.value().status, answer.value().headers);
        }
        co_return answer;
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
