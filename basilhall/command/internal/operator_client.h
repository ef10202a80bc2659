// Asks the operator endpoints of processes. Included by the sources of this folder alone.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/result.h"

#include <boost/json/value.hpp>
#include <string>

namespace basilhall::command::internal
{

// Answer of one operator endpoint.
struct OperatorAnswer {
    int status = 0;
    std::string body;
};

// Makes one request and waits for its answer. Unavailable if the process does not answer within
// five seconds.
Result<OperatorAnswer> askOperator(const Address &process, const std::string &method,
                                   const std::string &target, const std::string &body = {});

// As askOperator with GET, for a JSON answer. EndpointFailed if it is none; NotFound if the
// process answers 404.
Result<boost::json::value> askForJson(const Address &process, const std::string &target);

} // namespace basilhall::command::internal
