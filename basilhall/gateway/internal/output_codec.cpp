#include "basilhall/gateway/internal/output_codec.h"

namespace basilhall::gateway
{

std::string encodeOutput(const resumption::StreamOutput &output, std::size_t firstIndex)
{
    return toWire(output, firstIndex).SerializeAsString();
}

wire::OutputPart toWire(const resumption::StreamOutput &output, std::size_t firstIndex)
{
    wire::OutputPart part;
    part.set_stream(output.stream.value());
    part.set_team(output.team.value());
    part.set_continuation(output.continuation);
    part.set_started_wall_ms(output.startedAt);
    part.set_attempt(output.attempt.value());
    part.set_kept_until_wall_ms(output.keptUntil);
    part.set_first_index(firstIndex);
    for (std::size_t i = firstIndex; i < output.events.size(); ++i) {
        wire::SaidEvent &event = *part.add_events();
        event.set_id(output.events[i].id);
        event.set_data(output.events[i].data);
    }
    return part;
}

resumption::StreamOutput fromWire(const wire::OutputPart &part)
{
    resumption::StreamOutput output{CallId(part.stream()),    TeamName(part.team()),
                                    part.continuation(),      part.started_wall_ms(),
                                    CallId(part.attempt()),   {},
                                    part.kept_until_wall_ms()};
    output.events.reserve(static_cast<std::size_t>(part.events_size()));
    for (const wire::SaidEvent &event : part.events()) {
        output.events.push_back({event.id(), event.data()});
    }
    return output;
}

wire::OutputVerdict toWire(resumption::OutputVerdict verdict)
{
    switch (verdict) {
    case resumption::OutputVerdict::Accepted:
        return wire::OUTPUT_VERDICT_ACCEPTED;
    case resumption::OutputVerdict::Superseded:
        return wire::OUTPUT_VERDICT_SUPERSEDED;
    default:
        return wire::OUTPUT_VERDICT_GAP;
    }
}

resumption::OutputVerdict fromWire(wire::OutputVerdict verdict)
{
    switch (verdict) {
    case wire::OUTPUT_VERDICT_ACCEPTED:
        return resumption::OutputVerdict::Accepted;
    case wire::OUTPUT_VERDICT_SUPERSEDED:
        return resumption::OutputVerdict::Superseded;
    default:
        return resumption::OutputVerdict::Gap;
    }
}

} // namespace basilhall::gateway
