"""Kept turns of the largest size of the sheet, at the usual rate, against the memory of a gateway."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit2"))
from deployment import *  # noqa: E402,F403

ZONES = ("warri", "port-harcourt", "yenagoa")
# Sheet of ndaha-feedline: memory of an edge machine.
MEMORY_MB = 110
# delivery-chat: 11.8 programs a second of about 7 turns. Largest request: 100,000 bytes.
PROGRAMS_PER_S = 11.8
TURNS = 7
INPUT_BYTES = 100_000 if TROUBLE else 1_700
CLIENTS = 24
LENGTH_S = 80
EVENTS = 5
ENDS_FOR_FAULT = 3
MACHINES_FOR_FAULT = 2


def main():
    record = Record(FOLDER)
    answers = {}
    lock = threading.Lock()

    def serve(worker, sock):
        rest = b""
        while True:
            got = read_request(sock, rest)
            if got is None:
                return
            request, rest = got
            if worker.answer_plain(sock, request) or worker.is_misdirected(sock, request):
                continue
            attempt = request.header("X-Attempt-Id").encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s-%s\r\n"
                         b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                         % (attempt, attempt))
            for number in range(1, EVENTS + 1):
                time.sleep(0.01)
                text = b"id: %d\ndata: %s\n\n" % (number, b"w" * 140)
                sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            sock.sendall(b"0\r\n\r\n")

    deployment = Deployment(
        policy([route("chat", "engines", "streaming", retains_context=True, timeout_ms=4000,
                      max_attempts=2)],
               [service("engines", True)]),
        ZONES,
    )

    def client(number, until, period):
        """Runs one program after the other, at a steady pace."""
        program, next_at = 0, time.monotonic() + period * number / CLIENTS
        while next_at < until:
            time.sleep(max(0, next_at - time.monotonic()))
            next_at += period
            program += 1
            previous = None
            for turn in range(TURNS):
                attempt = new_id()
                headers = {"X-Program-Id": "%x%04x" % (number, program), "X-Session-Id": "77d20b",
                           "X-Program-Deadline": "9000", "X-Token-Usage": "840,575",
                           "X-Token-Budget": "100000", "X-Previous-Turn": previous,
                           "X-Deadline-Remaining": "4000"}
                body = (b"%s;" % attempt.encode()).ljust(INPUT_BYTES, b".")
                answer = call(deployment.gateways[(number + program) % len(ZONES)].listen,
                              request_bytes("POST", "/chat/x", body, headers, attempt))
                with lock:
                    key = (answer.status, answer.end)
                    answers[key] = answers.get(key, 0) + 1
                if answer.status != 200 or answer.end != "whole":
                    break
                previous = attempt

    limit = None
    try:
        for i in range(9):
            deployment.add_worker(Worker("i-%d" % i, "engines", ZONES[i % 3], serve))
        deployment.start()
        time.sleep(2)
        limit = MemoryLimit(deployment.gateways, MEMORY_MB, record)
        limit.start()
        until = time.monotonic() + LENGTH_S
        clients = [threading.Thread(target=client, args=(i, until, CLIENTS / PROGRAMS_PER_S))
                   for i in range(CLIENTS)]
        for thread in clients:
            thread.start()

        def is_fault():
            ends = [n for n in limit.ends.values() if n >= ENDS_FOR_FAULT]
            return len(ends) >= MACHINES_FOR_FAULT

        start = time.monotonic()
        while time.monotonic() < until and not is_fault():
            time.sleep(1)
            with lock:
                record("after %2.0f s: memory %s MB, answers %s"
                       % (time.monotonic() - start,
                          {g.name: round(limit.most[g.name]) for g in deployment.gateways},
                          {"%s %s" % k: n for k, n in answers.items()}))
        record("ends at the memory limit of %d MB: %s" % (MEMORY_MB, limit.ends))
        if is_fault():
            record("Fault: on %d machines processes ended by themselves %d times"
                   % (MACHINES_FOR_FAULT, ENDS_FOR_FAULT))
            return 1
        if answers.get((200, "whole"), 0) < 100:
            raise CannotRun("too few turns were answered: %s" % answers)
        return 0
    finally:
        if limit:
            limit.stop()
        deployment.close()


if __name__ == "__main__":
    try:
        status = main()
    except CannotRun as reason:
        print("cannot run:", reason)
        status = 2
    sys.stdout.flush()
    # Clients that still wait for an answer are not waited for.
    os._exit(status)
