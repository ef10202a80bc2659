"""The home of a program's budget stands still for some seconds. Another gateway takes its place and lets
the rest of the budget be spent, and is killed and started again. The first one then goes on as the home
with the total of before, and admits the same tokens once more."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "kit3"))

import fleet as deployment  # noqa: E402
import turns  # noqa: E402
from http_io import Connection  # noqa: E402
from worker import Worker  # noqa: E402

PROGRAMS = 24
EVENTS = 25
TOKENS_PER_EVENT = 23
# The second number of X-Token-Usage: what a turn generates at most.
MOST_TOKENS = 575
BUDGET = 4 * MOST_TOKENS
# The widest sub-agents of the deployment.
SUB_AGENTS = 4
SETTLE_S = 4
FROZEN_S = float(os.environ.get("FROZEN_S", "3.2"))
# Left for the others to be killed and back before the frozen gateway goes on.
KILL_BEFORE_S = 0.4
RETRY_S = 0.1
# Sub-agents begin so long after the frozen gateway goes on.
REJOIN_S = 0.2
# Turns that ended longer ago than stabilization_ms count as what they generated.
STABLE_S = 1.2


async def case(fleet, record, has_trouble):
    workers = [
        Worker(f"i-{n}", turns.SERVICE, turns.ZONES[n % 3], events=EVENTS, pause=0.004)
        for n in range(3)
    ]
    await fleet.start(turns.policy(), workers, turns.ZONES)
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    frozen, *others = fleet.gateways
    programs = [turns.hex_id() for _ in range(PROGRAMS)]
    tokens = {program: 0 for program in programs}

    async def send(gateway, program):
        """Returns the status of the answer, 0 without one."""
        connection = Connection(gateway.listen)
        try:
            attempt, answer = await turns.send_turn(connection, "bakers", program, budget=BUDGET)
        except (OSError, asyncio.TimeoutError):
            attempt, answer = "-", None
        await connection.close()
        if answer is not None and answer.status == 200:
            tokens[program] += TOKENS_PER_EVENT * answer.body.count(b"\n\n")
        record.add(
            f"program {program} at {gateway.name}, turn {attempt}: {turns.text(answer)}, "
            f"{tokens[program]} tokens in all"
        )
        return answer.status if answer is not None else 0

    async def spend(number, end):
        """Sends turns at one of the others until the budget is spent or the time is over."""
        while loop.time() < end:
            if await send(others[number % len(others)], programs[number]) == 402:
                break
            await asyncio.sleep(RETRY_S)

    await asyncio.gather(*[send(frozen, program) for program in programs])
    await asyncio.sleep(STABLE_S)
    begin = loop.time()
    if has_trouble:
        frozen.signal(signal.SIGSTOP)
        record.add(f"{frozen.name} stands still")
    end = begin + FROZEN_S - KILL_BEFORE_S
    await asyncio.gather(*[spend(number, end) for number in range(PROGRAMS)])
    await asyncio.sleep(max(0, end - loop.time()))
    if has_trouble:
        for gateway in others:
            gateway.kill()
        for gateway in others:
            gateway.start()
        record.add("the others were killed and started again")
        await asyncio.sleep(max(0, begin + FROZEN_S - loop.time()))
        frozen.signal(signal.SIGCONT)
        record.add(f"{frozen.name} goes on after {loop.time() - begin:.1f} s")
    await asyncio.sleep(REJOIN_S)
    await asyncio.gather(
        *[send(frozen, program) for program in programs for _ in range(SUB_AGENTS)]
    )
    over = {p: t for p, t in tokens.items() if t > BUDGET + MOST_TOKENS}
    record.add(f"tokens of the programs: {sorted(tokens.values())}; budget {BUDGET}")
    record.add(f"{len(over)} programs got more than their budget and {MOST_TOKENS} tokens")
    return not over


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, case))
