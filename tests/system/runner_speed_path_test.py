"""Tests runner selection among runners of different speed that report their slowness.

No test asserts how long a step takes.
"""

import json
import pathlib
import tempfile
import unittest

from platform_fleet import Platform, stream_text
from fleet import call, call_json, wait_for

REQUESTS = 60
GAP_MS = 20


class RunnerSpeedPathTest(unittest.TestCase):
    def start(self, **options):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name, runner_options=options)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()

    def ask(self, node, prefix, count):
        for index in range(count):
            status, _, body = self.platform.ask(node, "%s%d" % (prefix, index))
            self.assertEqual((status, body.decode()), (200, stream_text("q")))

    def lines(self, node, name):
        """Returns the entries of an event in a node's log."""
        text = pathlib.Path(self.directory.name, "node%d.log" % node).read_text()
        entries = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return [entry for entry in entries if entry["name"] == name]

    def slow_runners(self, node):
        """Returns how many runners a node currently considers slow."""
        page = call(self.platform.ready[node], "GET", "/metrics")[2].decode()
        return sum(float(line.split()[-1]) for line in page.splitlines()
                   if line.startswith("stoathold_runners_slow{"))

    def runs(self, name):
        return len(call_json(self.platform.runners[name], "GET", "/admin/runs")[1])

    def test_runner_four_times_slower_gets_fewer_requests(self):
        options = ["--gap-ms", GAP_MS, "--reports-slowness"]
        self.start(r0=options, r1=options + ["--time-percent", 400])
        self.ask(0, "learn", REQUESTS)
        before = self.runs("r1")
        self.ask(0, "known", REQUESTS)
        self.assertLess(self.runs("r1") - before, REQUESTS / 4)

    def test_reported_slowness_is_used_by_all_nodes(self):
        options = ["--reports-slowness"]
        self.start(r0=options, r1=options)
        for address in self.platform.runners.values():
            self.platform.set_faults(address, slowness_percent=250)
        # Only node 0 gets requests; the other nodes learn the slowness from it. The slowness of a
        # runner without requests is unknown and node 1 could choose it, so both must be known.
        wait_for(lambda: self.ask(0, "q%d" % self.runs("r0"), 1) or (
            self.slow_runners(1) == 2 and all(
                self.lines(node, "slowness_reported") for node in range(3))), "all nodes to know")
        self.ask(1, "there", 1)
        choices = [line["choice"] for line in self.lines(1, "request_sent")]
        wait_for(lambda: any("better_of_two" in line["choice"] and "slowness=250" in line["choice"]
                             for line in self.lines(1, "request_sent")), "a choice by time: %s"
                 % choices)
        page = call(self.platform.ready[1], "GET", "/metrics")[2].decode()
        self.assertIn('stoathold_runner_slowness_max{service="chat"}', page)
        self.assertIn("stoathold_first_event_expected_seconds_count", page)

    def test_invalid_slowness_is_rejected(self):
        options = ["--reports-slowness"]
        self.start(r0=options, r1=options)
        for index, value in enumerate(["0", "-100", "1000000000", "slow", " "]):
            for address in self.platform.runners.values():
                self.platform.set_faults(address, false_slowness=value)
            self.ask(0, "lie%d-" % index, 10)
        wait_for(lambda: self.lines(0, "slowness_refused"), "the refusal to be logged")
        # Logged at a limited rate, not for each response, and no false value is accepted.
        self.assertLess(len(self.lines(0, "slowness_refused")), 10)
        self.assertEqual(self.lines(0, "slowness_reported"), [])

    def test_runners_without_reported_slowness_are_chosen_by_load(self):
        self.start()
        self.ask(0, "q", 10)
        wait_for(lambda: self.lines(0, "request_sent"), "a choice to be logged")
        self.assertEqual(self.lines(0, "slowness_reported"), [])
        self.assertNotIn("better_of_two", str(self.lines(0, "request_sent")))


if __name__ == "__main__":
    unittest.main()
