"""Programs of two tenants that bear the same id share one budget."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit3"))

import fleet as deployment  # noqa: E402
import turns  # noqa: E402
from http_io import Connection  # noqa: E402
from worker import Worker  # noqa: E402

PROGRAMS = 12
# Ids as long as in the pages' examples ("3fa81c").
ID_BITS = 24
BUDGET = 2000
# As the headers of turns.py state.
MOST_TOKENS = 575
TOKENS_PER_EVENT = 23
EVENTS = 20
# Longer than stabilization_ms, within which an ended turn may still count at its most.
PAUSE_S = 1.3
SETTLE_S = 4


async def case(fleet, record, has_trouble):
    workers = [
        Worker(f"i-{n}", turns.SERVICE, turns.ZONES[n % 3], events=EVENTS) for n in range(3)
    ]
    await fleet.start(turns.policy(), workers, turns.ZONES)
    await asyncio.sleep(SETTLE_S)
    requests = 0
    wrong = 0

    async def run_program(number, tenant, program):
        """Sends turns until one is refused; returns whether its own tokens explain that."""
        nonlocal requests, wrong
        spent = 0
        previous = None
        connection = Connection(fleet.gateways[number % 3].listen)
        while True:
            requests += 1
            attempt, answer = await turns.send_turn(
                connection, tenant, program, previous=previous, budget=BUDGET
            )
            record.add(f"{tenant}' program {program}, {spent} spent: {turns.text(answer)}")
            if not turns.is_whole(answer):
                break
            spent += EVENTS * TOKENS_PER_EVENT
            previous = attempt
            await asyncio.sleep(PAUSE_S)
        await connection.close()
        is_refused = answer is not None and answer.status == 402
        if is_refused and spent + MOST_TOKENS <= BUDGET:
            wrong += 1

    async def run_pair(number):
        program = turns.hex_id(ID_BITS)
        await run_program(number, "bakers", program)
        other = program if has_trouble else turns.hex_id(ID_BITS)
        await run_program(number + 1, "visitors", other)

    await asyncio.gather(*[run_pair(n) for n in range(PROGRAMS)])
    allowed = 5 + requests / 500
    record.add(
        f"{wrong} of {requests} requests were answered 402 though the budget of their program held "
        f"one more turn; allowed are {allowed:.1f}"
    )
    return wrong <= allowed


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, case))
