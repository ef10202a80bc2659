// The users' platform in one process: its store, and engines of several versions that a test
// breaks and replaces.
//
//     FleetControl fleet(executor, {"127.0.0.1", 0});
//     // POST /engines {"name":"e1","version":"v1","register_after_ms":0}: starts or replaces one
//     // POST /break {"name":"e1"}: breaks off its streams
//     // POST /store {"fault":"none"|"busy"|"silent"}
//     // POST /policy {...}: writes the configuration
#pragma once

#include "basilhall/base/address.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace standin
{

// Not thread-safe. Answers 400 to what it does not know.
class FleetControl
{
public:
    FleetControl(const boost::asio::any_io_executor &executor, const basilhall::Address &listen);
    ~FleetControl();
    FleetControl(const FleetControl &) = delete;
    FleetControl &operator=(const FleetControl &) = delete;

    basilhall::Address address() const;
    basilhall::Address storeAddress() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
