// Plain and tool services: answer anything, and count how often each call ran.
#pragma once

#include "standin/application.h"

#include <cstdint>
#include <map>
#include <string>

namespace standin
{

// Counts by `Idempotency-Key` and by `x-call-id`. `GET /control/executions` returns the counts.
class ServiceApplication : public Application
{
public:
    // With `honoursKeys`, a repeated Idempotency-Key gets the first answer and does not run.
    ServiceApplication(bool honoursKeys, int workMs);

    boost::asio::awaitable<void> serve(Exchange &exchange) override;
    std::optional<std::string> control(const Request &request) override;

private:
    std::string execute(const Request &request);

    bool m_honoursKeys;
    int m_workMs;
    std::uint64_t m_total = 0;
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<std::string, std::uint64_t> m_byCall;
    std::map<std::string, std::string> m_answers;
};

} // namespace standin
