// What a process tells its operators.
#pragma once

#include "basilhall/audit/record.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <string>

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::operators
{

// Each is called on the thread of the operator server. An empty report answers 404.
struct Reports {
    // JSON document.
    std::function<std::string()> status;
    // JSON document on one program; NotFound if it does not exist.
    std::function<boost::asio::awaitable<Result<std::string>>(ProgramId)> explain;
    // Sets the gauges that are read from the state of the process; called before each scrape.
    std::function<void(metrics::Registry &)> updateMetrics;
    // The last audit records, oldest first.
    std::function<std::deque<audit::Record>()> audit;
};

} // namespace basilhall::operators
