// A model engine: OpenAI-style chat completions by a token clock.
#pragma once

#include "standin/application.h"
#include "standin/engine/engine_options.h"

#include <memory>

namespace standin
{

// Serves /v1/chat/completions, /v1/models, /v1/load, /v1/cache/events and DELETE /v1/sessions/ID.
// `GET /control/executions` and `GET /control/sessions` show what happened without any lag.
class EngineApplication : public Application
{
public:
    explicit EngineApplication(EngineOptions options);
    ~EngineApplication() override;

    boost::asio::awaitable<void> serve(Exchange &exchange) override;
    std::optional<std::string> control(const Request &request) override;
    void configure(const boost::json::object &fields) override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace standin
