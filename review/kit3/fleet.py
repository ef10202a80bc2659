"""Gateways of a small deployment, started with the command of deploy/system.toml."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from http_io import Connection
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "basilhall", "command", "basilhall")
START_SECONDS = 20
CASE_SECONDS = 110
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CannotRun(Exception):
    """The case cannot be run here (exit 2)."""


def free_address(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


class Gateway:
    def __init__(self, fleet, name, zone, ip):
        self.fleet = fleet
        self.name = name
        self.listen = free_address(ip)
        self.ready = free_address(ip)
        self.settings = os.path.join(fleet.folder, name + ".conf")
        # deploy/gateway.toml.in, filled in.
        lines = [
            'process = "gateway"',
            f'host = "{name}"',
            f'failure_domain = "{zone}"',
            f'listen = "{self.listen}"',
            f'ready_listen = "{self.ready}"',
            f'peer_listen = "{free_address(ip)}"',
            f'operator_listen = "{free_address(ip)}"',
            f'object_api = "{fleet.store.address}"',
            'shutdown_grace = "8 s"',
            "processor_share = 0.19",
            "[log]",
            'format = "json"',
        ]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.process = None

    def start(self):
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "BASILHALL_NODE_FILE": self.settings,
            "BASILHALL_SETTINGS": "\n",
        }
        self.process = subprocess.Popen(
            [PROGRAM, "gateway", "--settings", self.settings],
            stdout=log,
            stderr=log,
            env=environment,
            cwd=ROOT,
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def resident_mb(self):
        """Memory in use, in MB; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        connection = Connection(self.ready)
        try:
            answer = await connection.send("GET", "/v1/readiness", [("Host", "x")], seconds=1)
        except OSError:
            return False
        finally:
            await connection.close()
        return answer is not None and answer.status == 200


class Fleet:
    """The store and the gateways. `close()` ends every process that was started."""

    def __init__(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/basilhall/command/basilhall is missing; build the deploy file")
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store()
        self.gateways = []

    async def start(self, policy, workers, zones):
        await self.store.start()
        await self.store.put("config", "main", policy)
        for worker in workers:
            await worker.start()
            await self.store.put("servers", worker.name, worker.registration())
        for number, zone in enumerate(zones):
            gateway = Gateway(self, f"edge-{zone}-{number + 1}", zone, f"127.0.0.{number + 11}")
            self.gateways.append(gateway)
            gateway.start()
        await self.await_ready()

    async def await_ready(self):
        end = time.monotonic() + START_SECONDS
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end or gateway.process.poll() is not None:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    def restart_all(self):
        """Kills all gateways at the same moment and starts them again."""
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            gateway.kill()
        for gateway in self.gateways:
            gateway.start()

    def log_lines(self, text):
        found = []
        for gateway in self.gateways:
            path = os.path.join(self.folder, gateway.name + ".log")
            with open(path, encoding="utf-8", errors="replace") as file:
                found += [line.strip() for line in file if text in line]
        return found

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


def run_case(folder, case):
    """Runs `case(fleet, record, has_trouble)`, which returns True if the rule held."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    try:
        fleet = Fleet()
    except CannotRun as error:
        record.add(f"cannot run: {error}")
        return 2

    async def run():
        try:
            held = await asyncio.wait_for(case(fleet, record, has_trouble), CASE_SECONDS)
            code = 0 if held else 1
            record.add("the rule held" if held else "the rule was broken")
        except (CannotRun, asyncio.TimeoutError) as error:
            code = 2
            record.add(f"cannot run: {error!r}")
        finally:
            fleet.close()
        # Ends the stand-ins with their open connections.
        os._exit(code)

    asyncio.run(run())
    return 2
