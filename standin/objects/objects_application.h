// The platform's object API after Kubernetes' conventions.
#pragma once

#include "standin/application.h"

#include <cstddef>
#include <memory>

namespace standin
{

struct ObjectsLimits {
    // Calls a second; 0 is no limit.
    double writesPerSecond = 0;
    double readsPerSecond = 0;
    // Latest changes kept for watches, for each kind.
    std::size_t maxChanges = 1000;
};

// Serves /apis/basilhall.dev/v1/namespaces/{namespace}/{plural}[/{name}].
// `GET /control/counts` returns the calls counted so far.
class ObjectsApplication : public Application
{
public:
    explicit ObjectsApplication(ObjectsLimits limits);
    ~ObjectsApplication() override;

    boost::asio::awaitable<void> serve(Exchange &exchange) override;
    std::optional<std::string> control(const Request &request) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace standin
