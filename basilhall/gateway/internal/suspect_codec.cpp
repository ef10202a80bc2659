#include "basilhall/gateway/internal/suspect_codec.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/suspects/crash_evidence.h"
#include "basilhall/suspects/request_families.h"

#include <algorithm>
#include <limits>

namespace basilhall::gateway
{

namespace
{

using Millis = std::chrono::milliseconds;

std::uint32_t ageMillis(Instant at, Instant now)
{
    const auto millis = std::chrono::duration_cast<Millis>(now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(millis, 0, std::numeric_limits<std::uint32_t>::max()));
}

void add(const suspects::RequestFacts &facts, Instant now, wire::RequestFacts &entry)
{
    entry.set_request(facts.key.value);
    for (const suspects::EndedRun &run : facts.ends) {
        wire::EndedRun &end = *entry.add_ends();
        end.set_endpoint(run.process.name.value());
        end.set_started_wall_ms(run.process.startedAt);
        end.set_age_ms(ageMillis(run.at, now));
        end.set_confirmed(run.isConfirmed);
    }
    if (facts.completedAt) {
        entry.set_completed_age_ms(ageMillis(*facts.completedAt, now));
    }
    entry.set_cause(facts.isCause);
    if (facts.runAt) {
        entry.set_run_age_ms(ageMillis(*facts.runAt, now));
    }
}

suspects::RequestFacts fromWire(const wire::RequestFacts &entry, Instant now)
{
    suspects::RequestFacts facts;
    facts.key = {entry.request()};
    for (const wire::EndedRun &end : entry.ends()) {
        facts.ends.push_back({{EndpointName(end.endpoint()), end.started_wall_ms()},
                              now - Millis(end.age_ms()),
                              end.confirmed()});
    }
    facts.isCause = entry.cause();
    if (entry.has_completed_age_ms()) {
        facts.completedAt = now - Millis(entry.completed_age_ms());
    }
    if (entry.has_run_age_ms()) {
        facts.runAt = now - Millis(entry.run_age_ms());
    }
    return facts;
}

} // namespace

void addCrashChanges(suspects::CrashEvidence &crashes, Instant now, wire::Update &update)
{
    for (const suspects::RequestFacts &facts : crashes.takeChanges()) {
        add(facts, now, *update.add_requests());
    }
    for (const suspects::ProcessAnswer &answer : crashes.takeAnswers()) {
        wire::ProcessAnswer &entry = *update.add_answers();
        entry.set_endpoint(answer.process.name.value());
        entry.set_started_wall_ms(answer.process.startedAt);
        entry.set_sent_age_ms(ageMillis(answer.sentAt, now));
    }
}

void addCrashSummary(const suspects::CrashEvidence &crashes, Instant now, wire::Update &update)
{
    for (const suspects::RequestFacts &facts : crashes.summary()) {
        add(facts, now, *update.add_requests());
    }
}

void applyCrashes(const wire::Update &update, Instant now, suspects::CrashEvidence &crashes)
{
    for (const wire::RequestFacts &entry : update.requests()) {
        crashes.merge(fromWire(entry, now), now);
    }
    for (const wire::ProcessAnswer &answer : update.answers()) {
        crashes.merge({{EndpointName(answer.endpoint()), answer.started_wall_ms()},
                       now - Millis(answer.sent_age_ms())});
    }
}

void addBodies(const std::vector<suspects::RequestFacts> &bodies,
               const suspects::RequestFamilies &families, Instant now, wire::Update &update)
{
    for (const suspects::RequestFacts &facts : bodies) {
        wire::RequestFacts &entry = *update.add_bodies();
        add(facts, now, entry);
        entry.set_family(families.familyOf(facts.key).value_or(suspects::RequestKey()).value);
    }
}

void applyBodies(const wire::Update &update, Instant now, suspects::CrashEvidence &bodies,
                 suspects::RequestFamilies &families)
{
    for (const wire::RequestFacts &entry : update.bodies()) {
        bodies.merge(fromWire(entry, now), now);
        if (entry.ends_size() > 0 && entry.family() != 0) {
            families.onBroken({entry.family()}, {entry.request()}, now);
        }
    }
    for (const wire::ProcessAnswer &answer : update.answers()) {
        bodies.merge({{EndpointName(answer.endpoint()), answer.started_wall_ms()},
                      now - Millis(answer.sent_age_ms())});
    }
    for (const wire::RequestFacts &entry : update.requests()) {
        if (entry.has_completed_age_ms()) {
            families.onCompleted({entry.request()}, now - Millis(entry.completed_age_ms()));
        }
    }
}

} // namespace basilhall::gateway
