"""Runs one case: starts its fleet, plays it, and exits with the result.

0: the rule held; 1: it was broken; 2: the case could not run.
"""

import asyncio
import os
import shutil
import sys
import traceback

from .processes import Record


def has_trouble():
    return os.environ.get("TROUBLE") != "0"


async def _run(folder, fleet, play):
    record = Record(os.path.join(folder, "record.txt"))
    record.add("with the disruption" if has_trouble() else "without the disruption")
    for worker in fleet.workers:
        worker.record = record
    try:
        await fleet.start()
        is_broken = await play(fleet, record)
        record.add("RULE BROKEN" if is_broken else "rule held")
        return 1 if is_broken else 0
    except Exception:  # pylint: disable=broad-except
        record.add("the case could not run: " + traceback.format_exc())
        return 2
    finally:
        logs = os.environ.get("KEEP_LOGS")
        for gateway in fleet.gateways if logs else []:
            shutil.copy(gateway.log_path, logs)
        fleet.close()


def main(folder, fleet, play):
    loop = asyncio.new_event_loop()
    # Connections of killed processes break; their tasks need no report.
    loop.set_exception_handler(lambda _, __: None)
    code = loop.run_until_complete(_run(folder, fleet, play))
    sys.stdout.flush()
    # Leaves open connections to the kernel instead of waiting for their tasks.
    os._exit(code)
