"""An answer without a length that is reset during its long upload."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit2"))
from deployment import *  # noqa: E402,F403

ZONES = ("kolkata-a", "howrah-b", "salt-lake-c")
ANSWER = b"".join(b"booking line %03d\n" % i for i in range(47))[:800]
SENT_BEFORE_RESET = 300
# Half of max_body_bytes.
LONG_BODY = 2 * 1024 * 1024
SMALL_REQUESTS = 300
LONG_REQUESTS = 15
# garble: share (.5) of the workers break off x (.02) of their answers.
BROKEN_PART = 0.02
BREAKING_WORKERS = {"i-0"}


class Counts:
    def __init__(self):
        self.lock = threading.Lock()
        self.answers = {}
        self.broken = {}

    def may_break(self, name):
        """Counts one answer of the worker; True if this one may be broken off."""
        with self.lock:
            self.answers[name] = self.answers.get(name, 0) + 1
            broken = self.broken.get(name, 0) + 1
            if name in BREAKING_WORKERS and broken <= BROKEN_PART * self.answers[name]:
                return True
            return False

    def note_broken(self, name):
        with self.lock:
            self.broken[name] = self.broken.get(name, 0) + 1


def main():
    record = Record(FOLDER)
    counts = Counts()
    runs = {}

    def serve(worker, sock):
        rest = b""
        while True:
            head = read_head(sock, rest)
            if head is None:
                return
            line, headers, rest = head
            method, target, _ = line.split(" ")
            attempt = headers.get("x-attempt-id", "")
            length = int(headers.get("content-length", 0))
            request = Request(method, target, headers, b"", False)
            if length < LONG_BODY:
                while len(rest) < length:
                    part = sock.recv(65536)
                    if not part:
                        return
                    rest += part
                rest = rest[length:]
                if worker.answer_plain(sock, request) or worker.is_misdirected(sock, request):
                    continue
                counts.may_break(worker.name)
                sock.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s-%s\r\n"
                             b"Content-Length: %d\r\n\r\n%s"
                             % (attempt.encode(), attempt.encode(), len(ANSWER), ANSWER))
                continue
            if worker.is_misdirected(sock, request):
                return
            # Answers before the long body is in. The answer has no length and ends with its
            # connection.
            breaks = counts.may_break(worker.name) and TROUBLE
            sock.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s-%s\r\n"
                         b"Content-Type: text/plain\r\n\r\n%s"
                         % (attempt.encode(), attempt.encode(), ANSWER[:SENT_BEFORE_RESET]))
            if breaks:
                time.sleep(0.3)
                counts.note_broken(worker.name)
                runs[attempt] = "reset after %d of %d bytes" % (SENT_BEFORE_RESET, len(ANSWER))
                record("%s runs %s and resets its connection after %d of the %d bytes of its answer"
                       % (worker.name, attempt, SENT_BEFORE_RESET, len(ANSWER)))
                reset(sock)
                return
            left = length - len(rest)
            while left > 0:
                part = sock.recv(262144)
                if not part:
                    return
                left -= len(part)
            runs[attempt] = "whole"
            record("%s runs %s and answers all %d bytes" % (worker.name, attempt, len(ANSWER)))
            sock.sendall(ANSWER[SENT_BEFORE_RESET:])
            return

    deployment = Deployment(
        policy([route("book", "desk", "non_idempotent")], [service("desk")]), ZONES
    )
    try:
        for i, zone in enumerate(ZONES):
            worker = Worker("i-%d" % i, "desk", zone, serve)
            # Segments and a window as on a network, so that the upload waits until the worker reads.
            worker.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            worker.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            deployment.add_worker(worker)
        deployment.start()
        time.sleep(2)
        for i in range(SMALL_REQUESTS):
            answer = call(deployment.gateways[i % 3].listen,
                          request_bytes("POST", "/book/x", b"a small booking"))
            if answer.status != 200 or answer.body != ANSWER:
                record("small request %d: %s" % (i, answer))
        broken = 0
        for i in range(LONG_REQUESTS):
            attempt = new_id()
            answer = call(deployment.gateways[i % 3].listen,
                          request_bytes("POST", "/book/x", b"b" * LONG_BODY, attempt=attempt))
            record("client sent %s with %d bytes and got %s, signature %s; the run: %s"
                   % (attempt, LONG_BODY, answer, answer.headers.get("x-response-signature"),
                      runs.get(attempt)))
            is_success = answer.status == 200 and answer.end == "whole"
            if is_success and answer.body != ANSWER:
                broken += 1
                record("MIXED: a success with %d of the %d bytes of the worker's body"
                       % (len(answer.body), len(ANSWER)))
        if TROUBLE and not counts.broken:
            raise CannotRun("no answer to a long request was broken off")
        record("answers %s, broken off %s" % (counts.answers, counts.broken))
        return 1 if broken else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except CannotRun as reason:
        print("cannot run:", reason)
        sys.exit(2)
