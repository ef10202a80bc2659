"""Gateways before the stand-in of the users' platform, on one machine."""

import os
import re
import tempfile

from .cluster import free_address
from .http import call
from .process import Process
from .wait import wait_until

START_SECONDS = 30
ROUTE = {
    "route_kind": "streaming",
    "hostname": "h",
    "timeout_ms": 4000,
    "service": "engines",
    "resumable": True,
}
POLICY = {
    "version": 1,
    "routes": [
        {**ROUTE, "name": "once", "path_prefix": "/once/", "max_attempts": 1},
        {**ROUTE, "name": "twice", "path_prefix": "/twice/", "max_attempts": 2},
    ],
    "services": [
        {
            "name": "engines",
            "inference_engine": {
                "concurrency_slots": 64,
                "kv_cache_tokens": 1000000,
                "tokens_per_event": 1,
            },
        }
    ],
}


class Gateway:
    """One gateway process, which a test ends and starts again."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.name = name
        self.listen = free_address()
        self.ready = free_address()
        self.settings = os.path.join(fleet.folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                'process = "gateway"\n'
                f'host = "{name}"\n'
                f'failure_domain = "{domain}"\n'
                f'listen = "{self.listen}"\n'
                f'ready_listen = "{self.ready}"\n'
                f'peer_listen = "{free_address()}"\n'
                f'operator_listen = "{free_address()}"\n'
                f'object_api = "{fleet.store}"\n'
                'shutdown_grace = "4 s"\n'
                "processor_share = 0.2\n"
                "[log]\n"
                'format = "json"\n'
            )
        self.process = None

    def start(self):
        if self.process:
            self.process.close()
        log = os.path.join(self.fleet.folder, f"{self.name}.log")
        self.process = Process(
            [self.fleet.program("basilhall/command/basilhall"), "gateway", "--settings",
             self.settings],
            log,
        )

    def is_ready(self):
        try:
            return call(self.ready, "GET", "/", seconds=1).status == 200
        except OSError:
            return False

    def close(self):
        if self.process:
            self.process.close()


class Fleet:
    """Everything that one test needs. `close()` ends every process it started."""

    def __init__(self, build, gateways=3, engines=None):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="basilhall-fleet-")
        self.standin = Process(
            [self.program("standin/basilhall-fleet-standin"), "--listen", "127.0.0.1:0"],
            os.path.join(self.folder, "standin.log"),
        )
        found = wait_until(self._listening, START_SECONDS, "the stand-in listens")
        self.control, self.store = found.groups()
        self.post("/policy", POLICY)
        for name, version in (engines or {}).items():
            self.post("/engines", {"name": name, "version": version})
        self.gateways = [Gateway(self, f"gateway-{i}", f"domain-{i}") for i in range(gateways)]
        for gateway in self.gateways:
            gateway.start()
        self.wait_until_ready()

    def _listening(self):
        return re.search(r"listening (\S+) store (\S+)", self.standin.output())

    def program(self, path):
        return os.path.join(self.build, path)

    def post(self, path, fields):
        answer = call(self.control, "POST", path, fields)
        assert answer.status == 200, f"{path} {fields}"

    def wait_until_ready(self):
        for gateway in self.gateways:
            wait_until(gateway.is_ready, START_SECONDS, f"{gateway.name} is ready")

    def log_lines(self, message):
        """Lines of all gateways that hold `message`."""
        lines = []
        for gateway in self.gateways:
            lines += [line for line in gateway.process.output().splitlines() if message in line]
        return lines

    def close(self):
        for gateway in self.gateways:
            gateway.close()
        self.standin.close()
