#include "basilhall/store/internal/kube_watcher.h"

#include "basilhall/http/client.h"
#include "basilhall/store/internal/kube_document.h"
#include "basilhall/store/internal/kube_error.h"

namespace basilhall::store
{

namespace asio = boost::asio;

namespace
{

constexpr int kOk = 200;
// Leaves room for an object of 1 MiB and the JSON of its event.
constexpr std::size_t kMaxLineBytes = 2 * 1024 * 1024;

} // namespace

KubeWatcher::Handle::Handle(std::shared_ptr<KubeWatcher> watcher)
    : m_watcher(std::move(watcher))
{
}

KubeWatcher::Handle::~Handle()
{
    m_watcher->stop();
}

void KubeWatcher::Handle::stop()
{
    m_watcher->stop();
}

KubeWatcher::KubeWatcher(std::string kind, KubeStore::EventHandler onEvent,
                         KubeStore::EndHandler onEnded)
    : m_kind(std::move(kind))
    , m_onEvent(std::move(onEvent))
    , m_onEnded(std::move(onEnded))
{
}

asio::awaitable<void> KubeWatcher::run(http::Client &client, Address server, std::string target,
                                       Duration timeout, Duration length)
{
    return runShared(shared_from_this(), client, std::move(server), std::move(target), timeout,
                     length);
}

void KubeWatcher::stop()
{
    m_stopped = true;
    if (m_stream != nullptr) {
        m_stream->cancel();
    }
}

asio::awaitable<void> KubeWatcher::runShared(std::shared_ptr<KubeWatcher> self,
                                             http::Client &client, Address server,
                                             std::string target, Duration timeout, Duration length)
{
    Result<void> end =
        co_await self->readEvents(client, std::move(server), std::move(target), timeout, length);
    if (!self->m_stopped) {
        self->m_stopped = true;
        self->m_onEnded(std::move(end));
    }
}

asio::awaitable<Result<void>> KubeWatcher::readEvents(http::Client &client, Address server,
                                                      std::string target, Duration timeout,
                                                      Duration length)
{
    const std::string description = "watch " + m_kind;
    http::Request request;
    request.method = "GET";
    request.target = std::move(target);
    auto opened = co_await client.open(std::move(server), std::move(request), timeout);
    if (!opened) {
        co_return errorFromTransport(description, false, opened.error());
    }
    const std::unique_ptr<http::ResponseStream> stream = std::move(opened).value();
    if (stream->status() != kOk) {
        co_return errorFromStatus(description, false, stream->status(), stream->headers());
    }
    m_stream = stream.get();
    Result<void> end = success();
    while (end && !m_stopped) {
        Result<std::optional<std::string>> part = co_await stream->read(length + timeout);
        if (!part) {
            end = errorFromTransport(description, false, part.error());
        } else if (!part.value()) {
            break;
        } else {
            end = processText(*part.value());
        }
    }
    m_stream = nullptr;
    co_return end;
}

Result<void> KubeWatcher::processText(std::string_view text)
{
    m_partialLine += text;
    std::size_t begin = 0;
    for (std::size_t end = m_partialLine.find('\n'); end != std::string::npos && !m_stopped;
         end = m_partialLine.find('\n', begin)) {
        const std::string line = m_partialLine.substr(begin, end - begin);
        begin = end + 1;
        BOOST_OUTCOME_TRYV(reportLine(line));
    }
    m_partialLine.erase(0, begin);
    if (m_partialLine.size() > kMaxLineBytes) {
        return Error(ErrorKind::StoreUnavailable,
                     "watch " + m_kind + ": a line is longer than 2 MiB");
    }
    return success();
}

Result<void> KubeWatcher::reportLine(std::string_view line)
{
    if (line.empty()) {
        return success();
    }
    Result<WatchEvent> event = decodeEvent(m_kind, line);
    if (!event && event.error().kind() != ErrorKind::Corrupt) {
        return event.error();
    }
    m_onEvent(std::move(event));
    return success();
}

} // namespace basilhall::store
