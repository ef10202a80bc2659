#include "basilhall/gateway/spend_codec.h"

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
    return record;
}

turns::SpendReport fromRecord(const journal::ProgramSpend &record)
{
    return {ProgramId(record.program_id()), TeamName(record.team()), record.spent_tokens(),
            record.covered_tokens()};
}

} // namespace basilhall::gateway
