#include "basilhall/entry/kind_watch.h"

namespace basilhall::entry
{

KindWatch::KindWatch(const boost::asio::any_io_executor &control, store::KubeStore &objects,
                     std::string kind, std::function<void(const store::Object &)> onChange)
    : m_objects(objects)
    , m_kind(std::move(kind))
    , m_onChange(std::move(onChange))
    , m_pause(control)
{
}

void KindWatch::start()
{
    begin();
}

void KindWatch::stop()
{
    m_isStopped = true;
    m_pause.cancel();
    m_watch.reset();
}

void KindWatch::begin()
{
    const auto onEvent = [this](const Result<store::WatchEvent> &event) {
        m_isStoreAvailable = true;
        if (event) {
            m_since = event.value().object.version;
            m_onChange(event.value().object);
        }
    };
    m_watch = m_objects.watch(m_kind, m_since, kWatchLength, onEvent,
                              [this](const Result<void> &result) { onEnded(result); });
}

void KindWatch::onEnded(const Result<void> &result)
{
    if (m_isStopped) {
        return;
    }
    m_isStoreAvailable = result || result.error().kind() == ErrorKind::StoreConflict;
    if (!m_isStoreAvailable || !result) {
        // Restart from the beginning: objects that changed in the meantime are reported as added.
        m_since.clear();
    }
    m_pause.expires_after(result ? Duration::zero() : kRetryPause);
    m_pause.async_wait([this](boost::system::error_code failure) {
        if (!failure && !m_isStopped) {
            begin();
        }
    });
}

} // namespace basilhall::entry
