#include "basilhall/command/error_page.h"

#include "basilhall/base/error_kind.h"

namespace basilhall::command
{

namespace
{

constexpr std::string_view kIntroduction =
    "# Errors\n\n"
    "Made by `basilhall docs errors` from the table in `basilhall/base/error_kind.cpp`.\n\n"
    "The list is closed: every error that a caller, a log or a metric shows has one of these "
    "kinds.\n"
    "An answer is JSON, `{\"error\": {\"kind\": ..., \"message\": ..., \"not_run\": true}}`.\n"
    "`not_run` stands there only if no copy of the call has run or can run later. Where the table\n"
    "says so, the answer carries `Retry-After` in seconds.\n\n"
    "| Kind | HTTP status | Retry-After | Meaning |\n|---|---|---|---|\n";

} // namespace

std::string errorPage()
{
    std::string page(kIntroduction);
    for (const ErrorTraits &traits : errorTable()) {
        page += "| `" + std::string(traits.name) + "` | " + std::to_string(traits.httpStatus);
        page += " | " + std::string(traits.retryAfter ? "yes" : "no");
        page += " | " + std::string(traits.meaning) + " |\n";
    }
    return page;
}

} // namespace basilhall::command
