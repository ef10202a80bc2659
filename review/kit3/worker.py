"""A model worker as PROTOCOL.md describes it. Records what it runs."""

import asyncio
import time

from http_io import LAST_CHUNK, encode, encode_chunk, read_message


class Worker:
    """Streams `events` events for each POST, or answers at once for each other request."""

    def __init__(self, name, service, zone, events=4, pause=0.01, slots=64):
        self.name = name
        self.service = service
        self.zone = zone
        self.events = events
        self.pause = pause
        self.slots = slots
        self.born = int(time.time() * 1000)
        # (attempt id, headers, body) of each request that ran.
        self.runs = []
        self.server = None
        self.address = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def stop(self):
        self.server.close()

    def registration(self):
        return {
            "service": self.service,
            "address": self.address,
            "availability_zone": self.zone,
            "version": "v1",
            "concurrency_slots": self.slots,
            "lifecycle_state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.is_complete:
                    break
                await self.answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        method, target, _ = request.start.split(" ")
        if target == "/v1/report":
            body = b'{"born":%d,"lifecycle_state":"ready"}' % self.born
            writer.write(encode("HTTP/1.1 200 OK", [], body))
            return
        attempt = request.header("X-Attempt-Id") or ""
        echo = [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)]
        expected = request.header("X-Expected-Instance")
        if expected is not None and expected != self.name:
            writer.write(encode("HTTP/1.1 421 X", echo + [("X-Not-Executed", "1")], b""))
            return
        self.runs.append((attempt, request.headers, request.body))
        echo.append(("X-Response-Signature", f"{self.name}.{attempt}"))
        if method != "POST":
            writer.write(encode("HTTP/1.1 200 OK", echo, b"ok"))
            return
        echo += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(encode("HTTP/1.1 200 OK", echo))
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n"
            writer.write(encode_chunk(event.encode("latin-1")))
            await writer.drain()
        writer.write(LAST_CHUNK)
        await writer.drain()
