// Translates turns and spending between the tables and the journal.
#pragma once

#include "basilhall/journal/record.pb.h"
#include "basilhall/turns/budget_ledger.h"
#include "basilhall/turns/kept_turn.h"

namespace basilhall::gateway
{

journal::ProgramSpend toRecord(const Incarnation &self, const turns::SpendReport &report);
// The record says nothing of what is in flight.
turns::SpendReport fromRecord(const journal::ProgramSpend &record);

journal::TurnKept toRecord(const turns::KeptTurn &turn);
turns::KeptTurn fromRecord(const journal::TurnKept &record);

} // namespace basilhall::gateway
