// The platform's host list: a list of live and leaving hosts that lags behind the truth.
#pragma once

#include "standin/application.h"

#include <chrono>
#include <deque>
#include <string>

namespace standin
{

// `POST /control/hosts` sets the list; `GET /hosts` shows what was set `lagMs` ago.
class HostsApplication : public Application
{
public:
    explicit HostsApplication(int lagMs);

    boost::asio::awaitable<void> serve(Exchange &exchange) override;
    std::optional<std::string> control(const Request &request) override;
    void configure(const boost::json::object &fields) override;

private:
    using Clock = std::chrono::steady_clock;
    struct Version {
        Clock::time_point setAt;
        std::string list;
    };

    void set(const std::string &list);

    std::chrono::milliseconds m_lag;
    // Oldest first; all but the newest are dropped once a later one is old enough to show.
    std::deque<Version> m_versions;
};

} // namespace standin
