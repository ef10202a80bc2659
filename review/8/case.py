"""A kept turn whose stream the client takes up again after its gateway was killed."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit2"))
from deployment import *  # noqa: E402,F403

ZONES = ("kolkata-a", "howrah-b", "salt-lake-c")
EVENTS = 12
TAKEN_BEFORE_KILL = 5
PAUSE_S = 0.1
INPUTS = [b"input of turn 1;", b"input of turn 2;"]


def data_of(number):
    return b"part %d of what the engine said" % number


def event(number):
    return b"id: %d\ndata: %s\n\n" % (number, data_of(number))


def ids_in(body):
    return [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]


def main():
    record = Record(FOLDER)
    runs = []

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
            last = int(request.header("Last-Event-Id") or 0)
            runs.append((attempt, request.body))
            record("%s runs %s after event %d with the body %r"
                   % (worker.name, attempt, last, request.body))
            sock.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s-%s\r\n"
                         b"X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n" % (attempt.encode(), attempt.encode()))
            for number in range(last + 1, EVENTS + 1):
                time.sleep(PAUSE_S)
                sock.sendall(b"%x\r\n%s\r\n" % (len(event(number)), event(number)))
            sock.sendall(b"0\r\n\r\n")

    deployment = Deployment(
        policy([route("chat", "engines", "streaming", retains_context=True, resumable=True)],
               [service("engines", True)]),
        ZONES,
    )
    fields = {"X-Program-Id": "3fa81c", "X-Session-Id": "77d20b", "X-Program-Deadline": "20000",
              "X-Token-Usage": "20,300", "X-Token-Budget": "100000", "X-Model": "m"}

    def turn(gateway, body, **more):
        headers = {**fields, **{k.replace("_", "-"): v for k, v in more.items()}}
        attempt = new_id()
        answer = call(gateway.listen, request_bytes("POST", "/chat/x", body, headers, attempt))
        record("client sent %s to %s with %s and got %s, events %s"
               % (attempt, gateway.name, more, answer, ids_in(answer.body)))
        return attempt, answer

    def until_promise_ends(gateway, body, **more):
        """Sends again after a promise that the request has not run."""
        deadline = time.monotonic() + 10
        while True:
            attempt, answer = turn(gateway, body, **more)
            if answer.status not in (429, 503) or time.monotonic() > deadline:
                return attempt, answer
            time.sleep(0.2)

    try:
        for i, zone in enumerate(ZONES):
            deployment.add_worker(Worker("i-%d" % i, "engines", zone, serve))
        deployment.start()
        time.sleep(2)
        first, second, _ = deployment.gateways
        attempt = new_id()
        with connect(first.listen) as sock:
            sock.settimeout(10)
            sock.sendall(request_bytes("POST", "/chat/x", INPUTS[0], fields, attempt))
            if TROUBLE:
                seen = b""
                while seen.count(b"\n\r\n") < TAKEN_BEFORE_KILL:
                    part = sock.recv(4096)
                    if not part:
                        raise CannotRun("the first stream ended early: %r" % seen)
                    seen += part
                first.process.kill()
                first.process.wait()
                taken = max(ids_in(seen.replace(b"\r\n", b"\n")))
                record("client sent %s to %s, got events up to %d; %s is killed"
                       % (attempt, first.name, taken, first.name))
            else:
                answer = read_answer(sock)
                record("client sent %s to %s and got %s" % (attempt, first.name, answer))
                if answer.status != 200 or answer.end != "whole":
                    raise CannotRun("the first turn failed: %s" % answer)
        if TROUBLE:
            time.sleep(0.2)
            attempt, answer = until_promise_ends(second, INPUTS[0], Last_Event_Id=str(taken),
                                                 Resumes=attempt)
            if answer.status != 200 or answer.end != "whole":
                raise CannotRun("the stream could not be taken up: %s" % answer)
            if ids_in(answer.body) != list(range(taken + 1, EVENTS + 1)):
                raise CannotRun("the rest of the stream is not whole")
            first.start()
        # The turn has ended: the client has all of its events. The next turn names its last attempt.
        following, answer = until_promise_ends(second, INPUTS[1], X_Previous_Turn=attempt)
        said = b"".join(data_of(n) + b"\n" for n in range(1, EVENTS + 1))
        expected = INPUTS[0] + said + INPUTS[1]
        bodies = [body for run, body in runs if run == following]
        if not bodies:
            record("the next turn ran nowhere: %s" % answer)
            raise CannotRun("the next turn ran nowhere: %s" % answer)
        for body in bodies:
            if body != expected:
                record("UNASKED: the body is not the chain's inputs and outputs; expected %r"
                       % expected)
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
