#include "basilhall/config/duration_text.h"

#include <array>
#include <charconv>

namespace basilhall::config
{

namespace
{

struct Unit {
    std::string_view name;
    Duration length;
};

// Ordered from the longest to the shortest.
constexpr std::array kUnits{
    Unit{"h", std::chrono::hours(1)},         Unit{"min", std::chrono::minutes(1)},
    Unit{"s", std::chrono::seconds(1)},       Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"us", std::chrono::microseconds(1)},
};

Error invalidDuration(std::string_view text)
{
    return Error(ErrorKind::InvalidRequest,
                 "\"" + std::string(text)
                     + "\" is not a whole number with a unit (us, ms, s, min or h)");
}

std::string_view withoutLeadingSpace(std::string_view text)
{
    return text.starts_with(' ') ? text.substr(1) : text;
}

} // namespace

Result<Duration> parseDuration(std::string_view text)
{
    Duration::rep count = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, status] = std::from_chars(text.data(), end, count);
    if (status != std::errc() || count < 0) {
        return invalidDuration(text);
    }
    const std::string_view unitName =
        withoutLeadingSpace(text.substr(static_cast<std::size_t>(parsedEnd - text.data())));
    for (const Unit &unit : kUnits) {
        if (unit.name != unitName) {
            continue;
        }
        if (count > Duration::max().count() / unit.length.count()) {
            return invalidDuration(text);
        }
        return unit.length * count;
    }
    return invalidDuration(text);
}

std::string toString(Duration duration)
{
    if (duration == Duration::zero()) {
        return "0 s";
    }
    for (const Unit &unit : kUnits) {
        if (duration % unit.length == Duration::zero()) {
            return std::to_string(duration / unit.length) + " " + std::string(unit.name);
        }
    }
    return std::to_string(duration / std::chrono::microseconds(1)) + " us";
}

} // namespace basilhall::config
