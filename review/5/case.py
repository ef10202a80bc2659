"""Each kill of a gateway forgets a turn of a program that was answered, so budgets are overspent."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standin import case, web  # noqa: E402
from standin.engine import Engine  # noqa: E402
from standin.fleet import Fleet, engine_service  # noqa: E402

PROGRAMS = 4
# A step of an engine takes 1.08 ms; each event holds one token.
TURN_TOKENS = 3
EVENT_SECONDS = 0.00108
TURNS = 14
BUDGET = TURNS * TURN_TOKENS
KILLS = 6
# Time that a killed process is away, and time between two kills.
AWAY_SECONDS = 0.5
PAUSE_SECONDS = 4.0

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "rescue",
            "hostname": "h.example",
            "path_prefix": "/rescue/",
            "route_kind": "streaming",
            "resumable": True,
            "service": "models",
            "timeout_ms": 3000,
            "max_attempts": 1,
            "gap_aim_ms": 400,
            "target_latency_ms": 250,
        }
    ],
    "services": [engine_service("models")],
    "tenants": [{"name": "bakers", "api_keys": ["key-of-bakers"]}],
}


class Client:
    """Counts the tokens of each program that clients have received."""

    def __init__(self, record):
        self.record = record
        self.tokens = {}
        self.sent = 0

    async def turn(self, gateway, program):
        self.sent += 1
        attempt = f"{self.sent:016x}"
        self.record.add(f"turn {attempt} of program {program} sent to {gateway.name}")
        answer = await web.call(
            gateway.frontend, "POST", "/rescue/1",
            [
                ("Host", "h.example"),
                ("Api-Key", "key-of-bakers"),
                ("X-Attempt-Id", attempt),
                ("X-Program-Id", program),
                ("X-Session-Id", f"{program}{gateway.number}"),
                ("X-Program-Deadline", "60000"),
                ("X-Deadline-Remaining", "3000"),
                ("X-Token-Budget", BUDGET),
                ("X-Token-Usage", f"100,{TURN_TOKENS}"),
                ("X-Model", "m"),
                ("X-Prompt-Prefix", "5c1e07a2:100"),
            ],
            b"input", seconds=4.0,
        )
        tokens = answer.body.count(b"data:") if answer.status == 200 else 0
        self.tokens[program] = self.tokens.get(program, 0) + tokens
        self.record.add(
            f"answer to turn {attempt} of program {program} at {gateway.name}: {answer.status}, "
            f"{'whole' if answer.whole else 'broken off'}, "
            f"{tokens} tokens, {self.tokens[program]} in all"
        )
        return answer

    async def spend(self, gateways, program):
        """Sends one turn after the other until the budget is spent."""
        for number in range(3 * TURNS):
            answer = await self.turn(gateways[number % len(gateways)], program)
            if answer.status == 402:
                return
            await asyncio.sleep(0.02 if answer.status == 200 else 0.3)


async def play(fleet, record):
    client = Client(record)
    programs = [f"{i:014x}" for i in range(1, PROGRAMS + 1)]
    await asyncio.gather(*(client.turn(fleet.gateways[0], program) for program in programs))
    for number in range(KILLS):
        await asyncio.sleep(PAUSE_SECONDS)
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await asyncio.gather(*(client.turn(gateway, program) for program in programs))
        if case.has_trouble():
            gateway.kill()
            record.add(f"{gateway.name} is killed")
            await asyncio.sleep(AWAY_SECONDS)
            gateway.start()
            await fleet.wait_until_ready(gateway)
            record.add(f"{gateway.name} is ready again")
    await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*(client.spend(fleet.gateways, program) for program in programs))
    broken = False
    for program in programs:
        allowed = BUDGET + TURN_TOKENS
        is_over = client.tokens[program] > allowed
        broken = broken or is_over
        record.add(
            f"program {program}: {client.tokens[program]} tokens, {allowed} allowed"
            + (", BROKEN" if is_over else "")
        )
    return broken


FLEET = Fleet(
    CONFIGURATION, [Engine(f"w{i}", "models", "kolkata-a", pause=EVENT_SECONDS) for i in range(6)]
)
case.main(FOLDER, FLEET, play)
