"""A small deployment on loopback addresses: the store, workers and gateways as real processes.

Gateways are started with the command of deploy/system.toml, and with the settings that
deploy/gateway.toml.in gives for a site with three zones.
"""

import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "basilhall", "command", "basilhall")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "concurrency_slots": 12,
    "kv_cache_tokens": 456679,
    "token_bytes": 18432,
    "link_bandwidth_mbps": 1500000.0,
    "tokens_per_event": 23,
    "most": 12,
    "pin_duration_ms": 4000.0,
    "hold_duration_ms": 2000.0,
    "handle_s": 5.0,
    "model_catalog": [{"name": "m"}],
}
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"


class CannotRun(Exception):
    """The case could not run: exit status 2."""


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


def port_of(address):
    return int(address.rsplit(":", 1)[1])


def connect(address, seconds=5):
    s = socket.create_connection(("127.0.0.1", port_of(address)), seconds)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def policy(routes, services, limits=None, version=7, tenants=None):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits or LIMITS,
        "tenants": tenants
        or [
            {"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 3000,
             "burst_size": 3000}
        ],
    }


def route(name, service, kind, **fields):
    made = {
        "name": "r-" + name,
        "hostname": HOST,
        "path_prefix": "/%s/" % name,
        "route_kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "retains_context": False,
        "retention_s": 60.0,
        "public": False,
        "session_affinity": False,
        "resumable": False,
        "gap_aim_ms": 400,
    }
    made.update(fields)
    return made


def service(name, engine=False):
    made = {"name": name, "health_path": "/health", "connection_limit": 150, "protocol": "h1",
            "transport_security": False}
    if engine:
        made["inference_engine"] = ENGINE
    return made


class Request:
    def __init__(self, method, target, headers, body, complete):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.complete = complete

    def header(self, name):
        return self.headers.get(name.lower(), "")


def read_head(sock, buffer=b""):
    """Returns (start line, headers, rest), or None at the end of the connection."""
    while b"\r\n\r\n" not in buffer:
        part = sock.recv(65536)
        if not part:
            return None
        buffer += part
    head, rest = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


def read_request(sock, buffer=b""):
    head = read_head(sock, buffer)
    if head is None:
        return None
    line, headers, rest = head
    method, target, _ = line.split(" ")
    length = int(headers.get("content-length", 0))
    parts, size = [rest], len(rest)
    while size < length:
        part = sock.recv(262144)
        if not part:
            return None
        parts.append(part)
        size += len(part)
    body = b"".join(parts)
    return Request(method, target, headers, body[:length], True), body[length:]


def reset(sock):
    """Ends a connection with a reset."""
    import struct

    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Worker:
    """Accepts connections and calls serve(sock) for each in a thread of its own.

    `born` and the entry in the store are as PROTOCOL.md describes them; /v1/report and the health
    path are answered by answer_plain() for those that use it.
    """

    def __init__(self, name, service_name, zone, serve, version="v1"):
        self.name, self.service, self.zone, self.version = name, service_name, zone, version
        self.born = int(time.time() * 1000)
        self.serve = serve
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(self, sock)
        except OSError:
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def close(self):
        self.listener.close()

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "availability_zone": self.zone,
            "version": self.version, "concurrency_slots": 12, "lifecycle_state": state,
            "cold_remaining_ms": 0, "inference_stage": "prefill_and_decode",
            "model_catalog": [{"name": "m", "version": 1, "loaded_adapters": []}], "seq": 4,
            "born": self.born,
        }

    def report(self):
        import json

        return json.dumps({
            "inference_stage": "prefill_and_decode", "is_busy": False, "seq": 4,
            "model_catalog": [{"name": "m", "version": 1, "loaded_adapters": []}],
            "queued_requests": 0, "active_requests": 0, "kv_cache_used": 0,
            "kv_cache_capacity": 456679, "supported_models": 0, "born": self.born,
        }).encode()

    def answer_plain(self, sock, request):
        """Answers a report or a health check; False for any other request."""
        if request.target not in ("/v1/report", "/health"):
            return False
        body = self.report() if request.target == "/v1/report" else b"{}"
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (self.name.encode(), len(body), body))
        return True

    def is_misdirected(self, sock, request):
        expected = request.header("X-Expected-Instance")
        if not expected or expected == self.name:
            return False
        sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
                     b"X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                     % (self.name.encode(), request.header("X-Attempt-Id").encode()))
        return True


class Gateway:
    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.listen, self.ready, self.peer, self.operator = (free_address() for _ in range(4))
        self.settings = os.path.join(deployment.folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                'process = "gateway"\nhost = "%s"\nfailure_domain = "%s"\nlisten = "%s"\n'
                'ready_listen = "%s"\npeer_listen = "%s"\noperator_listen = "%s"\n'
                'object_api = "%s"\nshutdown_grace = "8 s"\nprocessor_share = 0.19\n'
                '[log]\nformat = "json"\n'
                % (name, zone, self.listen, self.ready, self.peer, self.operator,
                   deployment.store.address)
            )
        self.process = None
        self.exit_status = None
        self.starts = 0

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.deployment.folder, "%s.%d.log" % (self.name, self.starts)),
                   "wb")
        self.process = subprocess.Popen(
            [PROGRAM, "gateway", "--settings", self.settings], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/", "LANG": "C",
                 "BASILHALL_NODE_FILE": self.settings},
        )
        log.close()

    def is_ready(self):
        try:
            with connect(self.ready, 1) as s:
                s.settimeout(1)
                s.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def memory_mb(self):
        """Memory that the process holds now, of its own."""
        with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
            for line in file:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_text(self):
        text = ""
        for i in range(1, self.starts + 1):
            with open(os.path.join(self.deployment.folder, "%s.%d.log" % (self.name, i)),
                      encoding="utf-8", errors="replace") as file:
                text += file.read()
        return text


class MemoryLimit(threading.Thread):
    """Kills a gateway that holds more memory than its machine has, as the platform does, and starts
    it again after a short delay."""

    def __init__(self, gateways, limit_mb, record):
        super().__init__(daemon=True)
        self.gateways, self.limit_mb, self.record = gateways, limit_mb, record
        self.ends = {g.name: 0 for g in gateways}
        self.most = {g.name: 0.0 for g in gateways}
        self.stopped = False

    def run(self):
        while not self.stopped:
            for gateway in self.gateways:
                try:
                    held = gateway.memory_mb()
                except OSError:
                    continue
                self.most[gateway.name] = max(self.most[gateway.name], held)
                if held > self.limit_mb:
                    self.record("%s holds %.0f MB of %d and is killed"
                                % (gateway.name, held, self.limit_mb))
                    gateway.process.kill()
                    gateway.process.wait()
                    self.ends[gateway.name] += 1
                    time.sleep(0.5)
                    gateway.start()
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        self.join()


class Deployment:
    def __init__(self, config, zones=("kolkata-a", "howrah-b", "salt-lake-c")):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program is not built: " + PROGRAM)
        self.folder = tempfile.mkdtemp(prefix="basilhall-review-")
        self.store = Store()
        self.store.put("config", "main", config)
        self.workers = {}
        self.gateways = [Gateway(self, "edge-%s-1" % z, z) for z in zones]

    def add_worker(self, worker):
        self.workers[worker.name] = worker
        self.store.put("servers", worker.name, worker.entry())

    def start(self, seconds=25):
        for gateway in self.gateways:
            gateway.start()
        self.wait_ready(seconds)

    def wait_ready(self, seconds=25):
        deadline = time.monotonic() + seconds
        while not all(g.is_ready() for g in self.gateways):
            if time.monotonic() > deadline:
                raise CannotRun("the gateways are not ready")
            time.sleep(0.1)

    def close(self, keep_logs=None):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
            if gateway.process:
                gateway.process.wait()
        for worker in self.workers.values():
            worker.close()
        self.store.close()
        if keep_logs or os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


_number = [0]
_number_lock = threading.Lock()


def new_id():
    with _number_lock:
        _number[0] += 1
        return "%016x" % ((int(time.time() * 1000) << 16) + _number[0])


def request_bytes(method, target, body=b"", headers=None, attempt=None, length=None,
                  encoding="ascii"):
    fields = {"Host": HOST, "X-Attempt-Id": attempt or new_id(), "X-Deadline-Remaining": "3000",
              "Api-Key": KEY}
    fields.update(headers or {})
    if body or method == "POST" or length is not None:
        fields["Content-Length"] = str(len(body) if length is None else length)
    head = "%s %s HTTP/1.1\r\n" % (method, target)
    head += "".join("%s: %s\r\n" % item for item in fields.items() if item[1] is not None)
    return head.encode(encoding) + b"\r\n" + body


class Answer:
    """What a client saw. `end` is "whole", "closed" or "reset" or "silent"."""

    def __init__(self, status=None, headers=None, body=b"", end="closed"):
        self.status, self.headers, self.body, self.end = status, headers or {}, body, end

    def __str__(self):
        return "status %s, %d bytes, %s" % (self.status, len(self.body), self.end)


def read_answer(sock):
    """Reads one answer with a length or in chunks."""
    try:
        head = read_head(sock)
    except socket.timeout:
        return Answer(end="silent")
    except OSError:
        return Answer(end="reset")
    if head is None:
        return Answer(end="closed")
    line, headers, rest = head
    answer = Answer(int(line.split()[1]), headers, b"", "closed")
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                while b"\r\n" not in rest:
                    part = sock.recv(65536)
                    if not part:
                        return answer
                    rest += part
                size_text, rest = rest.split(b"\r\n", 1)
                size = int(size_text, 16)
                while len(rest) < size + 2:
                    part = sock.recv(65536)
                    if not part:
                        answer.body += rest[:size]
                        return answer
                    rest += part
                answer.body += rest[:size]
                rest = rest[size + 2:]
                if size == 0:
                    answer.end = "whole"
                    return answer
        length = int(headers.get("content-length", -1))
        answer.body = rest
        while length < 0 or len(answer.body) < length:
            part = sock.recv(65536)
            if not part:
                answer.end = "whole" if length < 0 else "closed"
                return answer
            answer.body += part
        answer.end = "whole"
        return answer
    except socket.timeout:
        answer.end = "silent"
        return answer
    except OSError:
        answer.end = "reset"
        return answer


def call(address, data, seconds=10):
    """Sends a request on a new connection and returns its answer."""
    try:
        with connect(address) as sock:
            sock.settimeout(seconds)
            sock.sendall(data)
            return read_answer(sock)
    except OSError as error:
        return Answer(end="failed: %s" % error)
