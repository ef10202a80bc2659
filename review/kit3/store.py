"""The platform's store as PROTOCOL.md describes it: objects, revisions, lists and watches."""

import asyncio
import json
import urllib.parse

from http_io import encode, read_message

MAX_VALUE_BYTES = 1048576
PAGE_OBJECTS = 500


class Store:
    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None
        # Answers to writes that were not 2xx: (status, kind).
        self.refused = []

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def stop(self):
        self.server.close()

    async def put(self, kind, name, specification):
        """Writes an object as the operator or a worker does."""
        self.set(kind, name, specification)
        await self.notify()

    async def delete(self, kind, name):
        if (kind, name) in self.objects:
            self.erase(kind, name)
            await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def set(self, kind, name, specification):
        known = self.objects.get((kind, name))
        if known and known["specification"] == specification:
            return known
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": known["status"] if known else None,
        }
        self.objects[(kind, name)] = item
        self.history.append((self.revision, kind, item, False))
        return item

    def erase(self, kind, name):
        item = self.objects.pop((kind, name))
        self.revision += 1
        item = dict(item, metadata=dict(item["metadata"], revision=self.revision))
        self.history.append((self.revision, kind, item, True))

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None or not request.is_complete:
                    break
                status, body = await self.answer(request)
                writer.write(
                    encode(
                        f"HTTP/1.1 {status} X",
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = path.split("/")[3:]
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch_stream" in query:
            return await self.watch(
                kind, int(query["watch_stream"]), float(query["wait_timeout_ms"]) / 1000
            )
        if method == "GET":
            return 200, self.list(kind, query.get("after", ""))
        status, body = self.write(method, kind, parts, query, request.body)
        if status >= 300:
            self.refused.append((status, kind))
        await self.notify()
        return status, body

    def list(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page, size = [], 0
        for name in names:
            item = self.objects[(kind, name)]
            page.append(item)
            size += len(json.dumps(item))
            if len(page) == PAGE_OBJECTS or size > MAX_VALUE_BYTES:
                break
        return {"items": page, "has_more": len(page) < len(names), "at": self.revision}

    async def watch(self, kind, since, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while True:
            events = [
                {"resource_object": item, "deleted": is_deleted}
                for revision, k, item, is_deleted in self.history[-2000:]
                if revision > since and k == kind
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def write(self, method, kind, parts, query, body):
        fields = json.loads(body) if body else {}
        metadata = fields.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else metadata["name"]
        known = self.objects.get((kind, name))
        expected = query.get("revision", metadata.get("revision"))
        is_status = parts[-1] == "status" and len(parts) == 3
        if len(json.dumps(fields.get("specification"))) > MAX_VALUE_BYTES:
            return 413, {}
        if method == "POST":
            return (409, known) if known else (200, self.set(kind, name, fields["specification"]))
        if not known:
            return 404, {}
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.erase(kind, name)
            return 200, {}
        if is_status:
            known["status"] = fields["status"]
            return 200, known
        return 200, self.set(kind, name, fields["specification"])
