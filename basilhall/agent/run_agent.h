// Entry point of an agent process.
//
//     return agent::runAgent(settings);
#pragma once

namespace basilhall::settings
{
struct AgentSettings;
}

namespace basilhall::agent
{

// Runs until SIGTERM or SIGINT, then drains the agent. Returns the exit code of the process: 1 if
// the agent cannot listen.
int runAgent(const settings::AgentSettings &settings);

} // namespace basilhall::agent
