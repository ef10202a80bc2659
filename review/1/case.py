"""Two gateways that lose each other for a moment both act as the home of a program."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standin import case, web  # noqa: E402
from standin.engine import Engine  # noqa: E402
from standin.fleet import Fleet, engine_service  # noqa: E402

# The home of a program, and the gateway that replaces it, follow from a hash of its id. For about a
# third of all ids, these are the two gateways whose connections are reset; these are some of them.
PROGRAMS = ["01", "05", "07", "1e", "29", "2d"]
# A step of an engine takes 1.08 ms; each event holds one token.
TURN_TOKENS = 5
EVENT_SECONDS = 0.00108
# One turn before the reset, and as many in each line afterwards as are left then.
LINE_TURNS = 4
BUDGET = (1 + LINE_TURNS) * TURN_TOKENS

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
        self.ended = set()
        self.sent = 0

    async def turn(self, gateway, program):
        """Returns the status of one turn."""
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
                ("X-Program-Deadline", "20000"),
                ("X-Deadline-Remaining", "3000"),
                ("X-Token-Budget", BUDGET),
                ("X-Token-Usage", f"100,{TURN_TOKENS}"),
                ("X-Model", "m"),
                ("X-Prompt-Prefix", "5c1e07a2:100"),
            ],
            b"input",
        )
        tokens = answer.body.count(b"data:") if answer.status == 200 else 0
        self.tokens[program] = self.tokens.get(program, 0) + tokens
        self.record.add(
            f"turn {attempt} of program {program} at {gateway.name} answered: {answer.status}, "
            f"{tokens} tokens, {self.tokens[program]} in all"
        )
        return answer.status

    # A program ends with its first 402.
    async def turns(self, gateway, program, most, seconds):
        end = asyncio.get_running_loop().time() + seconds
        sent = 0
        while sent < most and asyncio.get_running_loop().time() < end:
            if program in self.ended:
                return
            status = await self.turn(gateway, program)
            if status == 402:
                self.ended.add(program)
            if status == 200:
                sent += 1
            else:
                await asyncio.sleep(0.1)


async def play(fleet, record):
    client = Client(record)
    first, second = fleet.gateways[0], fleet.gateways[1]
    programs = [id.zfill(14) for id in PROGRAMS]
    await asyncio.gather(*(client.turns(first, p, 1, 3) for p in programs))
    await asyncio.sleep(1.0)
    if case.has_trouble():
        record.add(f"the connections between {first.name} and {second.name} are reset")
        fleet.network.reset(1, 2)
    # Each program has a line of turns at both gateways.
    await asyncio.gather(
        *(client.turns(gateway, p, LINE_TURNS, 5.0) for p in programs for gateway in (first, second))
    )
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
    CONFIGURATION, [Engine(f"w{i}", "models", "kolkata-a", pause=EVENT_SECONDS) for i in range(4)]
)
case.main(FOLDER, FLEET, play)
