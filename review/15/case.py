"""Turns whose input is within the limits of the configuration, but larger than a journal record may
be: they run, and their answers are cut off."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit3"))

import fleet as deployment  # noqa: E402
import turns  # noqa: E402
from http_io import Connection  # noqa: E402
from worker import Worker  # noqa: E402

# A fifth of max_body_bytes.
LARGE_BYTES = 800_000
# The mean of the deployment.
USUAL_BYTES = 17_000
CALLERS = 9
# More often breaks the rule.
MOST_CUTS = 3
SETTLE_S = 4


async def case(fleet, record, has_trouble):
    workers = [Worker(f"i-{n}", turns.SERVICE, turns.ZONES[n % 3]) for n in range(3)]
    await fleet.start(turns.policy(), workers, turns.ZONES)
    await asyncio.sleep(SETTLE_S)
    body = b"x" * (LARGE_BYTES if has_trouble else USUAL_BYTES)
    cuts = 0
    for number in range(CALLERS):
        connection = Connection(fleet.gateways[number % 3].listen)
        program = turns.hex_id()
        first, answer = await turns.send_turn(connection, "bakers", program)
        record.add(f"caller {number}: first turn {first}: {turns.text(answer)}")
        is_kept = connection.writer is not None
        second, answer = await turns.send_turn(
            connection, "bakers", program, previous=first, body=body
        )
        runs = turns.runs_of(workers, second)
        record.add(
            f"caller {number}: turn {second} with {len(body)} bytes on the "
            f"{'kept' if is_kept else 'new'} connection: {turns.text(answer)}, {runs} runs"
        )
        if is_kept and runs > 0 and (answer is None or not answer.is_complete):
            cuts += 1
        await connection.close()
    record.add(f"{cuts} requests were passed on and their connections closed without a whole answer")
    return cuts <= MOST_CUTS


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, case))
