#include "basilhall/base/random_name.h"

#include <string_view>

namespace basilhall
{

std::mt19937_64 makeRandomSource()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(),
                       device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

std::string randomHexName(std::mt19937_64 &random)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr int kLength = 32;
    std::string name;
    for (int i = 0; i < kLength; ++i) {
        name += kDigits[random() & 0x0f];
    }
    return name;
}

} // namespace basilhall
