// Converts turns, spending reports and origins of streams to and from journal records.
//
//     journal::TurnKept record = toRecord(turn);
//     turns::KeptTurn turn = fromRecord(record);
#pragma once

#include "basilhall/journal/record.pb.h"
#include "basilhall/resumption/stream_origin.h"
#include "basilhall/turns/budget_ledger.h"
#include "basilhall/turns/kept_turn.h"

namespace basilhall::gateway
{

journal::ProgramSpend toRecord(const Incarnation &self, const turns::SpendReport &report);
// Leaves the tokens in flight, the grants and the home at their defaults: records do not contain
// them.
turns::SpendReport fromRecord(const journal::ProgramSpend &record);

journal::TurnKept toRecord(const turns::KeptTurn &turn);
turns::KeptTurn fromRecord(const journal::TurnKept &record);

journal::StreamBegun toRecord(const resumption::StreamOrigin &origin);
resumption::StreamOrigin fromRecord(const journal::StreamBegun &record);

} // namespace basilhall::gateway
