"""Stand-in of a model worker: it streams one event for each token that a request asks for."""

import asyncio
import time

from . import web


class Engine:
    """`runs` holds what ran: the attempt and the request."""

    def __init__(self, name, service, zone, version="1", pause=0.01):
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.pause = pause
        self.born = int(time.time() * 1000)
        self.runs = []
        self.record = None

    async def start(self, host, port):
        self.address = (host, port)
        self.server = await web.serve(host, port, self.handle)

    def registration(self, state="ready"):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "availability_zone": self.zone,
            "version": self.version,
            "concurrency_slots": 64,
            "lifecycle_state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    async def handle(self, request, writer):
        if request.target == "/v1/report":
            writer.write(web.answer(200, [], b'{"born": %d}' % self.born))
            await writer.drain()
            return True
        attempt = request.header("x-attempt-id", "")
        if request.header("x-expected-instance", self.name) != self.name:
            writer.write(
                web.answer(421, [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)], b"")
            )
            await writer.drain()
            return True
        self.runs.append((attempt, request))
        if self.record:
            self.record.add(f"request {attempt} runs at {self.name}")
        return await self.run(request, attempt, writer)

    async def run(self, request, attempt, writer):
        tokens = int(request.header("x-token-usage", "0,5").split(",")[1])
        first = int(request.header("last-event-id", "0")) + 1
        writer.write(
            web.encode_head(
                200,
                [
                    ("Content-Type", "text/event-stream"),
                    ("X-Attempt-Id", attempt),
                    ("X-Response-Signature", f"{self.name}.{len(self.runs)}"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        for number in range(first, tokens + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
