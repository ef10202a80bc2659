"""A caller that reads a stream of events, and takes it up at another gateway when it breaks."""

import http.client
import threading
import time

EVENTS = 10
LIMIT_SECONDS = 4.0


class StreamResult:
    """What one caller got: the versions of its events, and how its tries ended."""

    def __init__(self):
        self.events = []
        self.began = False
        self.whole = False
        # Tries to go on that brought at least one event, and those that were refused or brought
        # none.
        self.continued = 0
        self.not_continued = 0
        # Statuses of refusals of a continued stream.
        self.refusals = []
        self.first_event_seconds = None

    def versions(self):
        return {data.split(" ")[0] for _, data in self.events}

    def processes(self):
        return {data for _, data in self.events}

    def is_in_order(self):
        return [number for number, _ in self.events] == list(range(1, len(self.events) + 1))


def run_stream(addresses, number, path, random, tries=6):
    """Runs one stream; `addresses` returns the gateways that a balancer would use now."""
    result = StreamResult()
    deadline = time.monotonic() + LIMIT_SECONDS
    first_attempt = None
    for attempt in range(tries):
        left = deadline - time.monotonic()
        if left <= 0.05 or result.whole:
            break
        name = f"s{number}-{attempt}"
        headers = {
            "Host": "h",
            "X-Attempt-Id": name,
            "X-Deadline-Remaining": str(int(left * 1000)),
        }
        if result.events:
            headers["Last-Event-Id"] = str(result.events[-1][0])
            headers["Resumes"] = first_attempt
        before = len(result.events)
        status = _try_once(random.choice(addresses()), path, f"prompt {number}", headers, left, result)
        if before == 0 and result.events:
            first_attempt = name
            result.began = True
        elif before > 0 and len(result.events) > before:
            result.continued += 1
        elif before > 0:
            result.not_continued += 1
            result.refusals.append(status)
        if not result.whole:
            time.sleep(random.uniform(0.01, 0.15))
    return result


def _try_once(address, path, body, headers, seconds, result):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=min(seconds, 2.0))
    begin = time.monotonic()
    status = 0
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        status = response.status
        if status != 200:
            response.read()
            return status
        while True:
            block = _read_event(response)
            if block is None:
                result.whole = len(result.events) == EVENTS
                return status
            if result.first_event_seconds is None:
                result.first_event_seconds = time.monotonic() - begin
            result.events.append(block)
    except (OSError, http.client.HTTPException, ValueError):
        return status
    finally:
        connection.close()


def _read_event(response):
    """Returns (id, data) of one event; None at the end of the stream."""
    number = None
    data = None
    while True:
        line = response.readline()
        if not line:
            return None
        text = line.decode().rstrip("\n")
        if text.startswith("id: "):
            number = int(text[4:])
        elif text.startswith("data: "):
            data = text[6:]
        elif text == "" and number is not None:
            return number, data


class StreamLoad:
    """Callers that run streams one after the other until stopped."""

    def __init__(self, addresses, callers, random, path="/once/x"):
        self.results = []
        self._addresses = addresses
        self._path = path
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._number = 0
        self._threads = [
            threading.Thread(target=self._run, args=(type(random)(random.random()),), daemon=True)
            for _ in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, random):
        while not self._stopped.is_set():
            with self._lock:
                self._number += 1
                number = self._number
            result = run_stream(self._addresses, number, self._path, random)
            with self._lock:
                self.results.append(result)

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(30)
        return self.results
