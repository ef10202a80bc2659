"""All gateways are killed four times while programs send turns. Each time, the tokens of the turn
before are forgotten, so that a program gets more than its budget."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit3"))

import fleet as deployment  # noqa: E402
import turns  # noqa: E402
from http_io import Connection  # noqa: E402
from worker import Worker  # noqa: E402

PROGRAMS = 60
# One token an event, which is a step of the engine.
EVENTS = 8
STEP_S = 0.00108
MOST_TOKENS = EVENTS
BUDGET = 110 * MOST_TOKENS
KILLS = 4
SERVING_S = 2.5
# for_s of herd_kill in trouble-3.
DOWN_S = 1
# Between the turns of a program.
MOST_PAUSE_S = 0.1
# A program whose turn has failed returns after this time.
RETURN_S = 1.5
SETTLE_S = 4


def policy():
    configuration = turns.policy()
    configuration["routes"][0]["retains_context"] = False
    configuration["services"][0]["inference_engine"]["tokens_per_event"] = 1
    return configuration


async def case(fleet, record, has_trouble):
    workers = [
        Worker(f"i-{n}", turns.SERVICE, turns.ZONES[n % 3], events=EVENTS, pause=STEP_S)
        for n in range(3)
    ]
    await fleet.start(policy(), workers, turns.ZONES)
    await asyncio.sleep(SETTLE_S)
    tokens = {}
    unfinished = {}

    async def send(gateway, program):
        """Returns the status of the answer, 0 without one, and whether it is whole."""
        connection = Connection(gateway.listen)
        try:
            attempt, answer = await turns.send_turn(
                connection, "bakers", program, budget=BUDGET, most_tokens=MOST_TOKENS
            )
        except (OSError, asyncio.TimeoutError):
            attempt, answer = "-", None
        await connection.close()
        if answer is not None and answer.status == 200:
            got = answer.body.count(b"\ndata: ")
            tokens[program] += got
            unfinished[program] += got > 0 and not answer.is_complete
        record.add(
            f"program {program} at {gateway.name}, {attempt}: {turns.text(answer)}, "
            f"{tokens[program]} in all"
        )
        return answer.status if answer is not None else 0, turns.is_whole(answer)

    async def run(number):
        """Sends turns until the budget is spent."""
        program = turns.hex_id(24)
        tokens[program] = 0
        unfinished[program] = 0
        while True:
            status, is_whole = await send(fleet.gateways[number % 3], program)
            if status == 402:
                return
            await asyncio.sleep(random.uniform(0, MOST_PAUSE_S) if is_whole else RETURN_S)

    async def kill_all():
        for gateway in fleet.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in fleet.gateways:
            gateway.kill()
        record.add("all gateways were killed")
        await asyncio.sleep(DOWN_S)
        for gateway in fleet.gateways:
            gateway.start()
        await fleet.await_ready()
        record.add("all gateways are ready")

    programs = [asyncio.create_task(run(number)) for number in range(PROGRAMS)]
    for _ in range(KILLS):
        await asyncio.sleep(SERVING_S)
        if has_trouble:
            await kill_all()
    await asyncio.gather(*programs)
    over = [program for program, got in tokens.items() if got > BUDGET + MOST_TOKENS]
    record.add(f"tokens of the programs: {sorted(tokens.values())}; budget {BUDGET}")
    record.add(f"turns that broke off after an event: {sorted(unfinished.values())}")
    record.add(f"{len(over)} programs got more than their budget and {MOST_TOKENS} tokens")
    return not over


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, case))
