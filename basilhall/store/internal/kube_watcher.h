// Reads one watch of the object API line by line.
//
//     auto watcher = std::make_shared<KubeWatcher>("shards", onEvent, onEnded);
//     asio::co_spawn(executor, watcher->run(client, server, target, 2s, 60s), rethrow);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/store/kube_store.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace basilhall::http
{
class Client;
class ResponseStream;
} // namespace basilhall::http

namespace basilhall::store
{

// Not thread-safe.
class KubeWatcher : public std::enable_shared_from_this<KubeWatcher>
{
public:
    // Stops the watch when its holder destroys it.
    class Handle : public KubeWatch
    {
    public:
        explicit Handle(std::shared_ptr<KubeWatcher> watcher);
        ~Handle() override;
        void stop() override;

    private:
        std::shared_ptr<KubeWatcher> m_watcher;
    };

    KubeWatcher(std::string kind, KubeStore::EventHandler onEvent, KubeStore::EndHandler onEnded);

    boost::asio::awaitable<void> run(http::Client &client, Address server, std::string target,
                                     Duration timeout, Duration length);
    void stop();

private:
    static boost::asio::awaitable<void> runShared(std::shared_ptr<KubeWatcher> self,
                                                  http::Client &client, Address server,
                                                  std::string target, Duration timeout,
                                                  Duration length);
    boost::asio::awaitable<Result<void>> readEvents(http::Client &client, Address server,
                                                    std::string target, Duration timeout,
                                                    Duration length);
    // Reports every complete line of `text` and buffers the rest.
    Result<void> processText(std::string_view text);
    Result<void> reportLine(std::string_view line);

    std::string m_kind;
    KubeStore::EventHandler m_onEvent;
    KubeStore::EndHandler m_onEnded;
    // The response being read, if any.
    http::ResponseStream *m_stream = nullptr;
    std::string m_partialLine;
    bool m_stopped = false;
};

} // namespace basilhall::store
