"""All gateways are killed at once; turns of other tenants that shared a journal batch with a program
whose id is not UTF-8 are gone."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit3"))

import fleet as deployment  # noqa: E402
import turns  # noqa: E402
from http_io import Connection  # noqa: E402
from worker import Worker  # noqa: E402

BAKERS = 9
# Programs of one client whose names are sent in ISO-8859-1, as many HTTP clients encode headers.
VISITOR_PROGRAM = "caf\u00e9-%d"
VISITOR_PAUSE_S = 0.25
SETTLE_S = 4
TRAFFIC_S = 6
TRIES = 8


async def case(fleet, record, has_trouble):
    workers = [Worker(f"i-{n}", turns.SERVICE, turns.ZONES[n % 3]) for n in range(3)]
    await fleet.start(turns.policy(), workers, turns.ZONES)
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    end = loop.time() + TRAFFIC_S
    whole = []

    async def baker(number):
        connection = Connection(fleet.gateways[number % 3].listen)
        while loop.time() < end:
            attempt, answer = await turns.send_turn(connection, "bakers", turns.hex_id())
            record.add(f"bakers' turn {attempt}: {turns.text(answer)}")
            if turns.is_whole(answer):
                whole.append((attempt, loop.time()))
        await connection.close()

    async def visitor(number):
        connection = Connection(fleet.gateways[number].listen)
        count = 0
        while loop.time() < end:
            count += 1
            program = VISITOR_PROGRAM % (1000 * number + count)
            attempt, answer = await turns.send_turn(connection, "visitors", program)
            record.add(f"visitors' turn {attempt} of {program}: {turns.text(answer)}")
            await asyncio.sleep(VISITOR_PAUSE_S)
        await connection.close()

    await asyncio.gather(*[baker(n) for n in range(BAKERS)], *[visitor(n) for n in range(3)])
    record.add(f"{len(whole)} turns of the bakers were answered whole")
    if has_trouble:
        fleet.restart_all()
        record.add("all gateways were killed and started again")
        await fleet.await_ready()
        record.add("all gateways are ready")
    lost = []

    async def go_on(number):
        connection = Connection(fleet.gateways[number % 3].listen)
        for attempt, answered_at in whole[number::BAKERS]:
            for _ in range(TRIES):
                after, answer = await turns.send_turn(
                    connection, "bakers", turns.hex_id(), previous=attempt
                )
                if answer is None or answer.status != 503:
                    break
                await asyncio.sleep(0.5)
            age = loop.time() - answered_at
            runs = turns.runs_of(workers, after)
            record.add(
                f"turn {after} after {attempt}, answered {age:.1f} s ago: {turns.text(answer)}, "
                f"{runs} runs"
            )
            is_gone = answer is not None and answer.status in (404, 410)
            if is_gone and age < turns.RETENTION_S:
                lost.append(attempt)
        await connection.close()

    await asyncio.gather(*[go_on(n) for n in range(BAKERS)])
    record.add(f"{len(lost)} of {len(whole)} turns that were answered whole are answered 404")
    return not lost


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, case))
