// A small stand-in of the users' platform store: objects with revisions, lists and watches.
//
//     PlatformStore store(executor);
//     store.put("config", "main", R"({"version":1})");
//     store.setFault(PlatformStore::Fault::Busy);
//     ObjectClient client(executor, store.address(), 1s);
#pragma once

#include "basilhall/base/address.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace standin
{

// Not thread-safe: use from its executor. Listens on a free port of 127.0.0.1.
class PlatformStore
{
public:
    enum class Fault {
        None,
        // 503, and nothing is done.
        Busy,
        // Writes are done and never answered.
        LosesAnswers,
        // Nothing is read or answered, also not the watches in progress when it ends.
        Silent,
        // Watches hear nothing.
        SilentWatches,
    };

    explicit PlatformStore(const boost::asio::any_io_executor &executor);
    ~PlatformStore();
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    basilhall::Address address() const;
    void setFault(Fault fault);
    // Creates or replaces an object as another writer would; `content` is JSON.
    void put(const std::string &kind, const std::string &name, const std::string &content);
    void remove(const std::string &kind, const std::string &name);
    // Forgets all changes so far: watches from before end with 410.
    void dropHistory();
    // The status of an object as JSON; empty if it has none.
    std::string status(const std::string &kind, const std::string &name) const;
    std::uint64_t writes() const;
    std::uint64_t reads() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
