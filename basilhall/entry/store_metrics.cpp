#include "basilhall/entry/store_metrics.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/metrics/registry.h"

#include <array>
#include <string_view>

namespace basilhall::entry
{

using metrics::Metric;

namespace
{

constexpr std::string_view kJournalKind = "journals";

std::string_view operationName(const store::Request &request)
{
    // Same order as the alternatives of store::Request.
    constexpr std::array<std::string_view, std::variant_size_v<store::Request>> kNames{
        "create", "update", "read", "list", "remove"};
    return kNames.at(request.index());
}

bool isJournalBatch(const store::Request &request)
{
    const auto *const create = std::get_if<store::Create>(&request);
    return create != nullptr && create->key.kind == kJournalKind;
}

} // namespace

store::OutcomeHandler counted(metrics::Registry &registry, const store::Request &request,
                              store::OutcomeHandler handler)
{
    registry.counter(Metric::ObjectApiRequests, operationName(request)).add();
    if (isJournalBatch(request)) {
        registry.counter(Metric::JournalBatches).add();
    }
    const Instant begin = MonotonicClock().now();
    return [&registry, begin, handler = std::move(handler)](store::Outcome outcome) {
        const Duration taken = MonotonicClock().now() - begin;
        registry.quantile(Metric::ObjectApiSeconds)
            .observe(std::chrono::duration<double>(taken).count());
        if (!outcome) {
            registry.counter(Metric::ObjectApiFailures, errorTraits(outcome.error().kind()).name)
                .add();
        }
        handler(std::move(outcome));
    };
}

} // namespace basilhall::entry
