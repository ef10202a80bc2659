"""Gateways, a store and workers on loopback addresses, with a network between the gateways."""

import asyncio
import shutil
import time

from . import web
from .network import Network
from .processes import Gateway, free_ports, temporary_folder
from .store import Store

ZONES = ["kolkata-a", "howrah-b", "salt-lake-c"]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 20000,
}
START_SECONDS = 20


def engine_service(name):
    return {
        "name": name,
        "connection_limit": 150,
        "inference_engine": {
            "concurrency_slots": 12,
            "kv_cache_tokens": 456679,
            "tokens_per_event": 1,
        },
    }


class Fleet:
    """`configuration` is what the operator writes; `workers` have `name`, `registration()`."""

    def __init__(self, configuration, workers, gateways=3):
        self.configuration = configuration
        self.workers = workers
        self.folder = temporary_folder()
        self.count = gateways
        self.gateways = []
        self.tasks = []

    async def start(self):
        hosts = range(1, self.count + 1)
        addresses = [f"127.0.0.{i}" for i in hosts]
        ports = free_ports(5, [*addresses, *(f"127.1.{i}.{j}" for i in hosts for j in hosts),
                               *(f"127.2.0.{i}" for i in hosts)])
        self.store = Store()
        await self.store.start("127.0.0.1", ports[4])
        self.network = Network(self.count, ports[2])
        await self.network.start(("127.0.0.1", ports[4]), ports[4])
        for worker, port in zip(self.workers, free_ports(len(self.workers), ["127.3.0.1"])):
            await worker.start("127.3.0.1", port)
            self.store.put("servers", worker.name, worker.registration())
        self.store.put("config", "main", self.configuration)
        for i in hosts:
            gateway = Gateway(self.folder, i, f"edge-{i}", ZONES[i - 1], addresses[i - 1],
                              (f"127.2.0.{i}", ports[4]), ports)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)

    async def wait_until_ready(self, gateway):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            if (await web.call(gateway.ready, "GET", "/v1/readiness", seconds=1)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{gateway.name} is not ready")

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
