// Translates spending between the ledger and the journal.
#pragma once

#include "basilhall/journal/record.pb.h"
#include "basilhall/turns/budget_ledger.h"

namespace basilhall::gateway
{

journal::ProgramSpend toRecord(const Incarnation &self, const turns::SpendReport &report);
// The record says nothing of what is in flight.
turns::SpendReport fromRecord(const journal::ProgramSpend &record);

} // namespace basilhall::gateway
