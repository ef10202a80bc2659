// Result<T> holds a T or an Error; Boost.Outcome carries it.
//
//     Result<int> parsed = parsePort(text);
//     if (!parsed) {
//         return parsed.error();
//     }
//     BOOST_OUTCOME_TRY(const auto port, parsePort(text)); // the same in one line
//
// Reading the value of a failed result throws bad_result_access.
#pragma once

#include "basilhall/base/error.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace basilhall
{

template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::throw_bad_result_access<Error, void>>;

// Returns a successful Result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace basilhall
