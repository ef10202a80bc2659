"""Streams that callers take up at other gateways while engines of several versions serve.

Real gateway processes before the stand-in of the users' platform. `soak SEED [SECONDS]` runs one
series of faults by hand.
"""

import json
import os
import random
import re
import signal
import sys
import time
import unittest
from collections import Counter

from harness.fleet import Fleet
from harness.http import call
from harness.stream_caller import StreamLoad

ENGINES = {"e1": "v1", "e2": "v1", "e3": "v1", "e4": "v2", "e5": "v2", "e6": "v2"}
VERSIONS = ["v1", "v2", "v3"]


class Soak:
    """A seeded series of overlapping faults under load."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.versions = dict(ENGINES)
        self.log = []
        self.paused = {}

    def replace_engine(self):
        """Another process, perhaps of another version, under the same name and address."""
        name = self.random.choice(sorted(self.versions))
        version = self.random.choice(VERSIONS)
        self.versions[name] = version
        delay = self.random.choice([0, 0, 300, 1500])
        self.fleet.post("/engines", {"name": name, "version": version, "register_after_ms": delay})
        return f"{name} is {version}, registered after {delay} ms"

    def break_streams(self):
        names = self.random.sample(sorted(self.versions), self.random.randint(1, 4))
        for name in names:
            self.fleet.post("/break", {"name": name})
        return f"streams of {names} break"

    def kill_gateway(self):
        gateway = self.random.choice(self.fleet.gateways)
        gateway.process.kill()
        gateway.start()
        return f"{gateway.name} is killed"

    def stop_gateway(self):
        gateway = self.random.choice(self.fleet.gateways)
        if not gateway.process.is_running():
            return "nothing"
        gateway.process.send(signal.SIGTERM)
        return f"{gateway.name} is asked to stop"

    def kill_all(self):
        for gateway in self.fleet.gateways:
            gateway.process.kill()
        for gateway in self.fleet.gateways:
            gateway.start()
        return "all gateways are killed"

    def pause_gateway(self):
        gateway = self.random.choice(self.fleet.gateways)
        if gateway.process.is_running():
            gateway.process.pause()
            self.paused[gateway.name] = (gateway, time.monotonic() + self.random.uniform(0.3, 3))
        return f"{gateway.name} is paused"

    def store_fault(self):
        fault = self.random.choice(["busy", "silent", "none", "none"])
        self.fleet.post("/store", {"fault": fault})
        return f"the store is {fault}"

    def step(self):
        for name, (gateway, until) in list(self.paused.items()):
            if time.monotonic() > until:
                del self.paused[name]
                if gateway.process.is_running():
                    gateway.process.resume()
        for gateway in self.fleet.gateways:
            if not gateway.process.is_running() and gateway.name not in self.paused:
                gateway.start()
        fault = self.random.choices(
            [self.break_streams, self.replace_engine, self.kill_gateway, self.stop_gateway,
             self.pause_gateway, self.store_fault, self.kill_all],
            [10, 5, 2, 1, 1, 2, 0.7],
        )[0]
        self.log.append(fault())

    def run(self, seconds):
        load = StreamLoad(
            lambda: [gateway.listen for gateway in self.fleet.gateways], 16, self.random
        )
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.05, 0.5))
            self.step()
        for gateway, _ in self.paused.values():
            if gateway.process.is_running():
                gateway.process.resume()
        self.fleet.post("/store", {"fault": "none"})
        return load.stop()


def mixed(results):
    """Streams with events of two versions, or with an event missing or twice."""
    return [
        result.events
        for result in results
        if len(result.versions()) > 1 or not result.is_in_order()
    ]


def summary(results):
    times = sorted(r.first_event_seconds for r in results if r.first_event_seconds is not None)
    return (
        f"{len(results)} streams, {sum(r.began for r in results)} began, "
        f"{sum(r.whole for r in results)} whole, "
        f"{sum(r.continued for r in results)} times continued, "
        f"{sum(r.not_continued for r in results)} times not, "
        f"first event after {times[len(times) // 2] * 1000 if times else 0:.1f} ms (median)"
    )


class FleetCase(unittest.TestCase):
    """One fleet for each test."""

    def setUp(self):
        self.fleet = Fleet(os.environ["BASILHALL_BUILD"], engines=ENGINES)
        self.addCleanup(self.fleet.close)
        self.random = random.Random(int(os.environ.get("STREAM_SEED", "1")))

    def addresses(self):
        return [gateway.listen for gateway in self.fleet.gateways]

    def refusals(self):
        """Why requests were not served, by reason, from the gateways' logs."""
        reasons = Counter(
            re.sub(r'["0-9]+', "", json.loads(line).get("reason", ""))
            for line in self.fleet.log_lines("Not served.")
            if line.startswith("{")
        )
        return "".join(f"\n{count} x {reason}" for reason, count in reasons.most_common(8))

    def assert_not_mixed(self, results):
        self.assertEqual(mixed(results), [], summary(results))


class Continuations(FleetCase):
    """Where hosts are in touch, streams go on at their version."""

    def test_broken_streams_go_on_at_other_gateways(self):
        load = StreamLoad(self.addresses, 16, self.random)
        for _ in range(20):
            time.sleep(0.15)
            for name in self.random.sample(sorted(ENGINES), 3):
                self.fleet.post("/break", {"name": name})
        results = load.stop()
        self.assert_not_mixed(results)
        continued = sum(result.continued for result in results)
        refused = sum(result.not_continued for result in results)
        self.assertGreater(continued, 50, summary(results) + self.refusals())
        # New streams begin nearly always here; half as often is the least that callers are owed.
        self.assertGreater(continued, refused, summary(results) + self.refusals())

    def test_streams_of_a_killed_gateway_go_on(self):
        load = StreamLoad(self.addresses, 16, self.random)
        for gateway in self.fleet.gateways:
            time.sleep(1.0)
            gateway.process.kill()
            time.sleep(0.5)
            gateway.start()
            self.fleet.wait_until_ready()
            time.sleep(1.0)
        results = load.stop()
        self.assert_not_mixed(results)
        self.assertGreater(sum(result.continued for result in results), 5, summary(results))

    def test_streams_go_on_after_a_restart_of_all(self):
        load = StreamLoad(self.addresses, 16, self.random)
        time.sleep(2.0)
        for gateway in self.fleet.gateways:
            gateway.process.kill()
        for gateway in self.fleet.gateways:
            gateway.start()
        self.fleet.wait_until_ready()
        time.sleep(2.0)
        results = load.stop()
        self.assert_not_mixed(results)
        self.assertGreater(sum(result.continued for result in results), 5, summary(results))

    def test_replaced_engines_do_not_go_on_with_streams_of_their_predecessors(self):
        load = StreamLoad(self.addresses, 16, self.random)
        for round_ in range(12):
            time.sleep(0.3)
            name = f"e{round_ % 6 + 1}"
            version = VERSIONS[(round_ + round_ // 6 + 1) % 3]
            self.fleet.post(
                "/engines", {"name": name, "version": version, "register_after_ms": 600}
            )
        results = load.stop()
        self.assert_not_mixed(results)

    def test_answers_with_two_attempts_keep_their_version(self):
        load = StreamLoad(self.addresses, 16, self.random, path="/twice/x")
        for _ in range(12):
            time.sleep(0.2)
            for name in self.random.sample(sorted(ENGINES), 4):
                self.fleet.post("/break", {"name": name})
        self.assert_not_mixed(load.stop())

    def test_unknown_stream_is_refused_at_once(self):
        headers = {"Host": "h", "X-Attempt-Id": "x", "Resumes": "unknown", "Last-Event-Id": "3"}
        begin = time.monotonic()
        answer = call(self.addresses()[0], "POST", "/once/x", "p", headers)
        self.assertEqual(answer.status, 503, answer.body)
        self.assertLess(time.monotonic() - begin, 1.0)


class Soaks(FleetCase):
    """Overlapping faults."""

    def test_no_stream_holds_two_versions(self):
        seed = int(os.environ.get("STREAM_SEED", "7"))
        seconds = float(os.environ.get("STREAM_SECONDS", "30"))
        soak = Soak(self.fleet, seed)
        results = soak.run(seconds)
        print(f"seed {seed}: {summary(results)}")
        self.assertEqual(mixed(results), [], "\n".join(soak.log))


def soak_by_hand(seed, seconds):
    fleet = Fleet(os.environ["BASILHALL_BUILD"], engines=ENGINES)
    try:
        soak = Soak(fleet, seed)
        results = soak.run(seconds)
        bad = mixed(results)
        print(f"seed {seed}: {'FAILED' if bad else 'ok'}, {summary(results)}", flush=True)
        if bad:
            print(bad, "\n".join(soak.log), f"logs in {fleet.folder}", sep="\n", flush=True)
        return bool(bad)
    finally:
        fleet.close()


if __name__ == "__main__":
    if sys.argv[1:2] == ["soak"]:
        sys.exit(soak_by_hand(int(sys.argv[2]), float((sys.argv + ["20"])[3])))
    unittest.main(verbosity=2)
