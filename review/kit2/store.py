"""A stand-in of the platform's store, as PROTOCOL.md describes it.

Objects with revisions, lists, watches and conditional writes. Everything is in memory; a call
changes one object under a lock, so answers are linearizable.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

PREFIX = "/v1/objects/"
PAGE = 500
# Kinds whose changes are kept for watches.
WATCHED = ("config", "servers", "gateways", "evacuations", "retirements")


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 100
        self.kinds = {}
        self.history = []
        # A function of (method, kind, name) that returns None, "busy", "silent" or "lost".
        self.fault = lambda method, kind, name: None
        handler = type("Handler", (_Handler,), {"store": self})
        self.server = _Server(("127.0.0.1", 0), handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()

    def _commit(self, kind, item, deleted=False):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        if kind in WATCHED:
            self.history.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        self.changed.notify_all()

    def put(self, kind, name, specification):
        """Creates or replaces an object, as the operator or a worker does."""
        with self.changed:
            objects = self.kinds.setdefault(kind, {})
            item = objects.get(name)
            if item is None:
                item = objects[name] = _new(name)
            item["specification"] = specification
            self._commit(kind, item)

    def remove(self, kind, name):
        with self.changed:
            item = self.kinds.get(kind, {}).pop(name, None)
            if item:
                self._commit(kind, item, True)

    def list(self, kind, after):
        with self.changed:
            names = sorted(n for n in self.kinds.get(kind, {}) if n > after)
            items = [self.kinds[kind][n] for n in names[:PAGE]]
            return 200, json.dumps(
                {"items": items, "has_more": len(names) > PAGE, "at": self.revision}
            )

    def read(self, kind, name):
        with self.changed:
            item = self.kinds.get(kind, {}).get(name)
            return (200, json.dumps(item)) if item else (404, "{}")

    def watch(self, kind, since, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while True:
                events = [
                    {"deleted": deleted, "resource_object": item}
                    for revision, of, item, deleted in self.history
                    if revision > since and of == kind
                ]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, json.dumps({"events": events, "at": self.revision})
                self.changed.wait(left)

    def write(self, method, kind, name, part, body, expected):
        with self.changed:
            objects = self.kinds.setdefault(kind, {})
            if method == "POST":
                name = body["metadata"]["name"]
                if name in objects:
                    return 409, json.dumps(objects[name])
                item = objects[name] = _new(name)
                item["specification"] = body.get("specification")
                self._commit(kind, item)
                return 200, json.dumps(item)
            item = objects.get(name)
            if item is None:
                return 404, "{}"
            if method == "PUT":
                expected = (body.get("metadata") or {}).get("revision", expected)
            if expected is not None and int(expected) != item["metadata"]["revision"]:
                return 409, json.dumps(item)
            if method == "DELETE":
                del objects[name]
                self._commit(kind, item, True)
                return 200, json.dumps(item)
            field = "status" if part == "status" else "specification"
            if item[field] != body.get(field):
                item[field] = body.get(field)
                self._commit(kind, item)
            return 200, json.dumps(item)


def _new(name):
    return {
        "metadata": {
            "name": name,
            "revision": 0,
            "created": int(time.time() * 1000),
            "finalizers": [],
            "deletion_pending": False,
        },
        "specification": None,
        "status": None,
    }


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A connection ended: its gateway was killed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    store = None

    def log_message(self, *args):
        pass

    def _serve(self):
        split = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        length = int(self.headers.get("Content-Length") or 0)
        raw = self.rfile.read(length) if length else b""
        if not split.path.startswith(PREFIX):
            return self._answer(404, "{}")
        parts = [unquote(p) for p in split.path[len(PREFIX):].split("/")]
        kind, name, part = (parts + ["", ""])[:3]
        method = self.command
        if method == "POST" and raw:
            name = json.loads(raw)["metadata"]["name"]
        fault = self.store.fault(method, kind, name)
        if fault == "busy":
            return self._answer(503, "{}")
        if fault == "silent":
            time.sleep(20)
            self.close_connection = True
            return None
        if method != "GET":
            status, text = self.store.write(
                method, kind, name, part, json.loads(raw) if raw else {}, query.get("revision")
            )
        elif name:
            status, text = self.store.read(kind, name)
        elif "watch_stream" in query:
            status, text = self.store.watch(
                kind, int(query["watch_stream"]), int(query.get("wait_timeout_ms", 0)) / 1000
            )
        else:
            status, text = self.store.list(kind, query.get("after", ""))
        if fault == "lost":
            time.sleep(20)
            self.close_connection = True
            return None
        return self._answer(status, text)

    def _answer(self, status, text):
        body = text.encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = _serve
