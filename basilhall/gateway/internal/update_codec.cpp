#include "basilhall/gateway/internal/update_codec.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/suspect_codec.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/gateway/turn_index.h"

#include <algorithm>

namespace basilhall::gateway
{

void addSpend(wire::Update &update, const Incarnation &incarnation,
              const turns::SpendReport &report)
{
    wire::Spend &spend = *update.add_spends();
    *spend.mutable_record() = toRecord(incarnation, report);
    spend.set_in_flight_tokens(report.inFlight);
    spend.set_grants(report.grants);
    spend.set_is_home(report.isHome);
}

void addLimit(wire::Update &update, const EndpointName &endpoint,
              const placement::NamedLimit &stated, Instant now)
{
    using Millis = std::chrono::milliseconds;
    wire::EndpointLimit &limit = *update.add_limits();
    limit.set_endpoint(endpoint.value());
    limit.set_started_wall_ms(stated.startedAt);
    limit.set_is_limited(stated.perSecond.has_value());
    limit.set_per_second(stated.perSecond.value_or(0));
    limit.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<Millis>(std::max(now - stated.statedAt, Duration::zero()))
            .count()));
}

void addChanges(FleetState &state, Instant now, wire::Update &update)
{
    addCrashChanges(state.crashes(), now, update);
    addBodies(state.bodyCrashes().takeChanges(), state.families(), now, update);
    for (const auto &[endpoint, stated] : state.placement().limits().takeChanges()) {
        addLimit(update, endpoint, stated, now);
    }
    for (const turns::SpendReport &report : state.budgets().takeChanges()) {
        addSpend(update, state.self(), report);
    }
    for (const TeamUse &use : state.takeTeamUses()) {
        wire::Admitted &admitted = *update.add_admitted();
        admitted.set_team(use.team.value());
        admitted.set_requests(use.admitted);
        admitted.set_refunded(use.refunded);
    }
    for (const auto &[endpoint, load, pace, sends] : state.placement().takeLoadChanges()) {
        wire::EndpointLoad &entry = *update.add_loads();
        entry.set_endpoint(endpoint.value());
        entry.set_requests(load.requests);
        entry.set_tokens(load.tokens);
        entry.set_answers(pace.answers);
        entry.set_time_ratio_sum(pace.ratioSum);
        entry.set_sends(sends.sends);
        entry.set_extra_sends(sends.extra);
    }
    for (const placement::PromptUse &use : state.placement().takeUses()) {
        wire::PromptUse &entry = *update.add_uses();
        entry.set_endpoint(use.endpoint.value());
        for (const placement::PromptPart &part : use.prompt) {
            wire::PromptPart &added = *entry.add_parts();
            added.set_id(part.id);
            added.set_tokens(part.tokens);
        }
    }
}

void applyUpdate(const wire::Update &update, Instant now, FleetState &state)
{
    const Incarnation from(update.incarnation());
    applyCrashes(update, now, state.crashes());
    applyBodies(update, now, state.bodyCrashes(), state.families());
    for (const journal::TurnKept &turn : update.turns()) {
        state.turns().add(fromRecord(turn));
    }
    for (const wire::StoredTurn &turn : update.stored_turns()) {
        const IndexedTurn stored = fromWire(from, turn);
        state.turns().addStored(stored.id, stored.stored);
    }
    for (const wire::WithheldTurn &turn : update.withheld_turns()) {
        // It is unknown where it is stored.
        state.turns().addStored(turns::TurnId(turn.turn_id()),
                                {Incarnation(),
                                 0,
                                 turns::TurnId(turn.previous_turn_id()),
                                 turn.kept_until_wall_ms(),
                                 {turn.allowed_regions().begin(), turn.allowed_regions().end()}});
    }
    for (const wire::Spend &spend : update.spends()) {
        turns::SpendReport report = fromRecord(spend.record());
        report.inFlight = spend.in_flight_tokens();
        report.grants = spend.grants();
        report.isHome = spend.is_home();
        const Incarnation spender(spend.record().incarnation());
        if (spender == from) {
            state.budgets().onPeerReport(from, report, now);
        } else {
            state.budgets().onJournalReport(spender, report, now);
        }
    }
    for (const wire::Admitted &admitted : update.admitted()) {
        state.onPeerUse({TeamName(admitted.team()), admitted.requests(), admitted.refunded()}, now);
    }
    for (const wire::EndpointLoad &load : update.loads()) {
        const EndpointName endpoint(load.endpoint());
        state.placement().onPeerLoad(from, endpoint, {load.requests(), load.tokens()});
        if (load.sends() > 0) {
            state.placement().limits().onPeerSends(endpoint, {load.sends(), load.extra_sends()},
                                                   now);
        }
        if (load.answers() > 0) {
            state.placement().onPeerPace(endpoint, {load.answers(), load.time_ratio_sum()}, now);
        }
    }
    for (const wire::EndpointLimit &limit : update.limits()) {
        const placement::NamedLimit stated{limit.started_wall_ms(),
                                           limit.is_limited() ? std::optional(limit.per_second())
                                                              : std::nullopt,
                                           now - std::chrono::milliseconds(limit.age_ms())};
        (void)state.placement().limits().onPeerAnswer(EndpointName(limit.endpoint()), stated, now);
    }
    for (const journal::StreamBegun &stream : update.streams()) {
        state.origins().add(fromRecord(stream));
    }
    for (const journal::StreamBegun &stream : update.streams_to_write()) {
        state.origins().add(fromRecord(stream));
    }
    for (const wire::PromptUse &use : update.uses()) {
        placement::PromptUse known{EndpointName(use.endpoint()), {}};
        for (const wire::PromptPart &part : use.parts()) {
            known.prompt.push_back({part.id(), part.tokens()});
        }
        state.placement().onPeerUse(known);
    }
}

} // namespace basilhall::gateway
