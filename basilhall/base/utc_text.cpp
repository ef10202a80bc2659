#include "basilhall/base/utc_text.h"

#include <array>
#include <ctime>

namespace basilhall
{

namespace
{

constexpr WallMillis kMillisPerSecond = 1000;

} // namespace

std::string toUtcText(WallMillis wallMillis)
{
    const std::time_t seconds = wallMillis / kMillisPerSecond;
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr) {
        return "an unknown time";
    }
    // Room for years of more than four digits.
    std::array<char, 48> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%TZ", &parts);
    return {text.data(), length};
}

} // namespace basilhall
