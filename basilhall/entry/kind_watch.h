// Watches all objects of one kind and restarts the watch when it ends or the object API fails.
//
//     KindWatch watch(control, objects, kind, [](const store::Object &object) { ... });
//     watch.start();
#pragma once

#include "basilhall/store/kube_store.h"
#include "basilhall/store/kube_watch.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace basilhall::entry
{

// Control thread only. Makes one object API request per kWatchLength.
class KindWatch
{
public:
    static constexpr Duration kWatchLength = std::chrono::seconds(30);
    static constexpr Duration kRetryPause = std::chrono::milliseconds(500);

    KindWatch(const boost::asio::any_io_executor &control, store::KubeStore &objects,
              std::string kind, std::function<void(const store::Object &)> onChange);

    void start();
    void stop();
    // False if the last watch ended because the object API did not answer.
    bool isStoreAvailable() const { return m_isStoreAvailable; }

private:
    void begin();
    void onEnded(const Result<void> &result);

    store::KubeStore &m_objects;
    const std::string m_kind;
    const std::function<void(const store::Object &)> m_onChange;
    boost::asio::steady_timer m_pause;
    store::ResourceVersion m_since;
    std::unique_ptr<store::KubeWatch> m_watch;
    bool m_isStopped = false;
    bool m_isStoreAvailable = true;
};

} // namespace basilhall::entry
