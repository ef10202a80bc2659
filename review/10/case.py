"""The largest tenth of the kept turns has inputs of legal size that no journal batch holds."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit2"))
from deployment import *  # noqa: E402,F403

ZONES = ("warri", "port-harcourt", "yenagoa")
# max_body_bytes is 4,194,304.
LARGE_BYTES = 800_000 if TROUBLE else 600_000
SMALL_BYTES = 1_700
TURNS = 200
LARGE_EVERY = 10
TRIES = 3
EVENTS = 5
TENANTS = [
    {"name": "wholesale", "api_keys": ["key-of-wholesale"], "priority": 1, "rate_per_s": 300,
     "burst_size": 300},
    {"name": "retail", "api_keys": ["key-of-retail"], "priority": 1, "rate_per_s": 300,
     "burst_size": 300},
]


def main():
    record = Record(FOLDER)
    runs = {}

    def serve(worker, sock):
        rest = b""
        while True:
            got = read_request(sock, rest)
            if got is None:
                return
            request, rest = got
            if worker.answer_plain(sock, request) or worker.is_misdirected(sock, request):
                continue
            attempt = request.header("X-Attempt-Id")
            sock.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s-%s\r\n"
                         b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                         % (attempt.encode(), attempt.encode()))
            for number in range(1, EVENTS + 1):
                time.sleep(0.01)
                text = b"id: %d\ndata: %s\n\n" % (number, b"w" * 140)
                sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            sock.sendall(b"0\r\n\r\n")
            runs[attempt] = runs.get(attempt, 0) + 1

    deployment = Deployment(
        policy([route("chat", "engines", "streaming", retains_context=True, timeout_ms=4000,
                      max_attempts=2)],
               [service("engines", True)], tenants=TENANTS),
        ZONES,
    )
    # 4 edge machines in 3 zones, as on the sheet.
    deployment.gateways.append(Gateway(deployment, "edge-warri-2", "warri"))
    try:
        for i in range(9):
            deployment.add_worker(Worker("i-%d" % i, "engines", ZONES[i % 3], serve))
        deployment.start()
        time.sleep(6)
        served = {"large": 0, "small": 0}
        asked = {"large": 0, "small": 0}
        run = {"large": 0, "small": 0}
        refused = {"large": 0, "small": 0}
        for number in range(TURNS):
            size = "large" if number % LARGE_EVERY == LARGE_EVERY - 1 else "small"
            key = "key-of-wholesale" if size == "large" else "key-of-retail"
            body = b"t" * (LARGE_BYTES if size == "large" else SMALL_BYTES)
            asked[size] += 1
            for attempt_number in range(TRIES):
                attempt = new_id()
                gateway = deployment.gateways[(number + attempt_number) % len(deployment.gateways)]
                answer = call(gateway.listen, request_bytes("POST", "/chat/x", body, {
                    "Api-Key": key, "X-Program-Id": "%06x" % number, "X-Session-Id": "77d20b",
                    "X-Program-Deadline": "9000", "X-Token-Usage": "840,575",
                    "X-Token-Budget": "100000", "X-Deadline-Remaining": "4000"}, attempt))
                ran = runs.get(attempt, 0)
                run[size] += ran
                if size == "large" or answer.status != 200:
                    record("%s turn %d, try %d, %s sent with %d bytes to %s: %s; runs: %d%s"
                           % (size, number, attempt_number + 1, attempt, len(body), gateway.name,
                              answer, ran,
                              "" if answer.status == 200 else "; " + answer.body.decode()[:70]))
                if answer.status == 200 and answer.end == "whole":
                    served[size] += 1
                    break
                refused[size] += 1 if answer.status == 503 else 0
                time.sleep(0.2)
        shares = {size: served[size] / asked[size] for size in served}
        whole = sum(served.values()) / sum(asked.values())
        record("asked %s, runs %s, refused with 503 %s, served %s, shares %s, of the whole kind %.2f"
               % (asked, run, refused, served, shares, whole))
        if whole < 0.5:
            raise CannotRun("too few turns were served at all")
        if shares["large"] < whole / 2:
            record("Sizes: the largest tenth is served less than half as often as the whole kind")
            return 1
        return 0
    finally:
        deployment.close()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as reason:
        print("cannot run:", reason)
        sys.exit(2)
