"""Stand-in of the platform's store: objects by kind and name, with watches."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from . import web

PREFIX = "/v1/objects/"
PAGE = 500


class Store:
    """`delay` is the time in seconds that each answer takes."""

    def __init__(self, delay=0.004):
        self.delay = delay
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.server = await web.serve(host, port, self.handle)

    def put(self, kind, name, specification):
        found = self.objects.setdefault((kind, name), {"status": None})
        found["specification"] = specification
        self._note(kind, name, False)

    def _note(self, kind, name, deleted):
        self.revision += 1
        self.objects[kind, name]["revision"] = self.revision
        self.history.append((self.revision, kind, deleted, self._encode(kind, name)))
        if deleted:
            del self.objects[kind, name]
        self.changed.set()
        self.changed = asyncio.Event()

    def _encode(self, kind, name):
        found = self.objects[kind, name]
        return {
            "metadata": {"name": name, "revision": found["revision"]},
            "specification": found["specification"],
            "status": found["status"],
        }

    async def handle(self, request, writer):
        await asyncio.sleep(self.delay)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = unquote(url.path)[len(PREFIX):].partition("/")
        if "watch_stream" in query:
            status, body = await self._watch(kind, query)
        else:
            status, body = self._apply(request, kind, name, query)
        writer.write(
            web.answer(status, [("Content-Type", "application/json")], json.dumps(body).encode())
        )
        await writer.drain()
        return True

    def _apply(self, request, kind, name, query):
        if request.method == "GET" and not name:
            names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
            items = [self._encode(kind, n) for n in names[:PAGE]]
            return 200, {"items": items, "has_more": len(names) > PAGE, "at": self.revision}
        body = json.loads(request.body) if request.body else {}
        if request.method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self._encode(kind, name)
            self.put(kind, name, body["specification"])
            return 200, self._encode(kind, name)
        is_status = name.endswith("/status")
        name = name.removesuffix("/status")
        if (kind, name) not in self.objects:
            return 404, {}
        expected = query.get("revision", body.get("metadata", {}).get("revision"))
        if request.method != "GET" and expected is not None:
            if int(expected) != self.objects[kind, name]["revision"]:
                return 409, self._encode(kind, name)
        if request.method == "DELETE":
            self._note(kind, name, True)
            return 200, {}
        if request.method == "PUT" and is_status:
            self.objects[kind, name]["status"] = body["status"]
            self._note(kind, name, False)
        elif request.method == "PUT":
            self.put(kind, name, body["specification"])
        return 200, self._encode(kind, name)

    async def _watch(self, kind, query):
        since = int(query["watch_stream"])
        end = time.monotonic() + int(query.get("wait_timeout_ms", "0")) / 1000
        while True:
            changed = self.changed
            events = [
                {"resource_object": item, "deleted": deleted}
                for revision, k, deleted, item in self.history
                if revision > since and k == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
