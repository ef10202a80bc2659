#include "basilhall/gateway/record_codec.h"

namespace basilhall::gateway
{

journal::ProgramSpend toRecord(const Incarnation &self, const turns::SpendReport &report)
{
    journal::ProgramSpend record;
    record.set_incarnation(self.value());
    record.set_program_id(report.program.value());
    record.set_team(report.team.value());
    record.set_spent_tokens(report.spent);
    record.set_covered_tokens(report.covered);
    record.set_total_tokens(report.total);
    record.set_total_number(report.totalNumber);
    record.set_added_tokens(report.added);
    return record;
}

turns::SpendReport fromRecord(const journal::ProgramSpend &record)
{
    turns::SpendReport report;
    report.program = ProgramId(record.program_id());
    report.team = TeamName(record.team());
    report.spent = record.spent_tokens();
    report.covered = record.covered_tokens();
    report.total = record.total_tokens();
    report.totalNumber = record.total_number();
    report.added = record.added_tokens();
    return report;
}

journal::TurnKept toRecord(const turns::KeptTurn &turn)
{
    journal::TurnKept record;
    record.set_turn_id(turn.id.value());
    record.set_team(turn.team.value());
    record.set_previous_turn_id(turn.previous.value());
    record.set_input(turn.input);
    record.set_output(turn.output);
    record.set_kept_until_wall_ms(turn.keptUntil);
    record.mutable_allowed_regions()->Assign(turn.allowedRegions.begin(),
                                             turn.allowedRegions.end());
    return record;
}

turns::KeptTurn fromRecord(const journal::TurnKept &record)
{
    return {turns::TurnId(record.turn_id()),
            TeamName(record.team()),
            turns::TurnId(record.previous_turn_id()),
            record.input(),
            record.output(),
            record.kept_until_wall_ms(),
            {record.allowed_regions().begin(), record.allowed_regions().end()}};
}

journal::StreamBegun toRecord(const resumption::StreamOrigin &origin)
{
    journal::StreamBegun record;
    record.set_call_id(origin.attempt.value());
    record.set_team(origin.team.value());
    record.set_service(origin.service);
    record.set_version(origin.version);
    record.set_endpoint(origin.endpoint.value());
    record.set_endpoint_started_wall_ms(origin.endpointStartedAt);
    record.set_sent_wall_ms(origin.sentAt);
    record.set_kept_until_wall_ms(origin.keptUntil);
    return record;
}

resumption::StreamOrigin fromRecord(const journal::StreamBegun &record)
{
    return {CallId(record.call_id()),
            TeamName(record.team()),
            record.service(),
            record.version(),
            EndpointName(record.endpoint()),
            record.endpoint_started_wall_ms(),
            record.sent_wall_ms(),
            record.kept_until_wall_ms()};
}

} // namespace basilhall::gateway
