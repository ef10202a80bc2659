// An engine of one version of its software: each event of its streams names the version.
//
//     VersionedEngine engine(executor, {"127.0.0.1", 0}, {"e1", "v1", 1000});
//     store.put("servers", "e1", engine.registration());
#pragma once

#include "basilhall/base/address.h"

#include <boost/asio/any_io_executor.hpp>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace standin
{

// What tells one process of an engine from another. Immutable value.
struct EngineProcess {
    std::string name;
    std::string version;
    // Unix time in ms.
    std::int64_t startedAt = 0;

    auto operator<=>(const EngineProcess &) const = default;
};

// Streams kEvents events at a fixed pace, the first ones left out that the client has. Answers 421
// to requests for another engine, and states its start when asked. Not thread-safe.
class VersionedEngine
{
public:
    static constexpr int kEvents = 10;

    VersionedEngine(const boost::asio::any_io_executor &executor, const basilhall::Address &listen,
                    EngineProcess process);
    // Closes all connections, as a crash does.
    ~VersionedEngine();
    VersionedEngine(const VersionedEngine &) = delete;
    VersionedEngine &operator=(const VersionedEngine &) = delete;

    const EngineProcess &process() const;
    basilhall::Address address() const;
    // Content of its object in the store, as JSON.
    std::string registration() const;
    // Breaks off the streams that run.
    void breakStreams();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
