// Messages with what a stream has said.
#pragma once

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/resumption/output_table.h"
#include "basilhall/resumption/stream_output.h"

#include <cstddef>
#include <string>

namespace basilhall::gateway
{

// A wire::OutputPart with the events from `firstIndex` on.
std::string encodeOutput(const resumption::StreamOutput &output, std::size_t firstIndex);
wire::OutputPart toWire(const resumption::StreamOutput &output, std::size_t firstIndex);
resumption::StreamOutput fromWire(const wire::OutputPart &part);
wire::OutputVerdict toWire(resumption::OutputVerdict verdict);
resumption::OutputVerdict fromWire(wire::OutputVerdict verdict);

} // namespace basilhall::gateway
