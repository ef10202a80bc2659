#include "basilhall/audit/event_kind.h"

#include <algorithm>
#include <array>

namespace basilhall::audit
{

namespace
{

struct KindName {
    EventKind kind;
    std::string_view name;
};

constexpr std::array kNames{
    KindName{EventKind::ManifestInForce, "manifest_in_force"},
    KindName{EventKind::Published, "published"},
    KindName{EventKind::KeyWithdrawn, "key_withdrawn"},
    KindName{EventKind::Takeover, "takeover"},
    KindName{EventKind::Handover, "handover"},
    KindName{EventKind::Seal, "seal"},
    KindName{EventKind::Drain, "drain"},
    KindName{EventKind::Refusal, "refusal"},
};

static_assert(kNames.size() == static_cast<std::size_t>(EventKind::Refusal) + 1);

} // namespace

std::string_view toString(EventKind kind)
{
    return kNames.at(static_cast<std::size_t>(kind)).name;
}

std::optional<EventKind> eventKindFromName(std::string_view name)
{
    const auto *const found = std::find_if(
        kNames.begin(), kNames.end(), [name](const KindName &row) { return row.name == name; });
    if (found == kNames.end()) {
        return std::nullopt;
    }
    return found->kind;
}

} // namespace basilhall::audit
