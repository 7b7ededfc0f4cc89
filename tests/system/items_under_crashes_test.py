"""Tests that accepted items are run although runners crashed under them again and again.

Guards against items whose content, or a prompt part that they share, is quarantined after crashes that
they did not cause, and which no runner gets any more although all is calm. An accepted item is never
what makes a runner exit by itself.
"""

import tempfile
import time
import unittest

from platform_fleet import Platform, item_text
from fleet import call, call_json, wait_for

NODES = 3
RUNNERS = 4
ITEMS = 3
CRASHES = 8  # More than a quarantine of online requests has trials for.
EVENT_MS = 1500  # A runner sends the head at once and the first event after this time.
SHARED_PARTS = "aa01:60,bb02:90,"
WAIT_SECONDS = 60.0


class ItemsUnderCrashesTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        options = {"r%d" % index: ["--gap-ms", EVENT_MS] for index in range(RUNNERS)}
        self.platform = Platform(self.directory.name, nodes=NODES, runners=RUNNERS,
                                 runner_options=options)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
        self.seen_runs = {}  # By name of a runner's process: runs at the last crash.

    def submit(self, prompt=SHARED_PARTS):
        self.assertEqual(self.platform.submit(0, "job", ITEMS, prompt=prompt), 202)

    def process_name(self, name):
        return self.platform.runner_process(name).name

    def begun_runs(self, name, items):
        """Returns how many runs of these items a runner has begun since its start."""
        status, runs = call_json(self.platform.runners[name], "GET", "/admin/runs")
        return sum(runs.get(item, 0) for item in items) if status == 200 else 0

    def crash_runners_with(self, items):
        """Kills the runners that were given one of the items since the last crash."""
        found = []

        def has_new_run():
            begun = {name: self.begun_runs(name, items) for name in self.platform.runners}
            found[:] = [name for name, count in begun.items()
                        if count > self.seen_runs.get(self.process_name(name), 0)]
            return bool(found)

        wait_for(has_new_run, "an item at a runner", WAIT_SECONDS)
        self.seen_runs = {self.process_name(name): self.begun_runs(name, items)
                          for name in self.platform.runners if name not in found}
        for name in found:
            self.platform.runner_process(name).kill()
        for name in found:
            self.platform.start_runner_again(name)

    def crash_runners(self, count=CRASHES):
        """Crashes runners under one item, and the first times under those that share its prompt."""
        for crash in range(count):
            others = ["job-%d" % index for index in range(1, ITEMS)] if crash < 3 else []
            self.crash_runners_with(["job-0", *others])

    def check_items_complete(self, node=1):
        results = self.platform.wait_results(node, "job", ITEMS)
        self.assertEqual({result["state"] for result in results}, {"completed"})
        self.assertEqual({result["id"]: result["message"] for result in results},
                         {"job-%d" % index: item_text(index) for index in range(ITEMS)})

    def quarantined_requests(self):
        pages = [call(ready, "GET", "/metrics")[2].decode() for ready in self.platform.ready]
        return sum(float(line.split()[-1]) for page in pages for line in page.splitlines()
                   if line.startswith("stoathold_quarantined_requests "))

    def check_online_requests_are_served(self):
        for node in range(NODES):
            status = self.platform.ask(node, "a%d" % node, prompt=SHARED_PARTS + "cc03:9")[0]
            self.assertEqual(status, 200)

    def test_items_with_a_shared_part_complete(self):
        self.submit()
        self.crash_runners()
        self.assertEqual(self.quarantined_requests(), 0)
        self.check_online_requests_are_served()
        self.check_items_complete()

    def test_items_without_parts_complete(self):
        self.submit(prompt="")
        self.crash_runners()
        self.assertEqual(self.quarantined_requests(), 0)
        self.check_items_complete()

    def test_items_complete_after_the_store_was_silent(self):
        self.submit()
        self.crash_runners(1)
        self.platform.set_faults(self.platform.store, outage="silent")
        # Restarted runners cannot be listed meanwhile; the others crash one after the other.
        for name in list(self.platform.runners)[1:]:
            self.platform.runner_process(name).kill()
            time.sleep(0.5)
        self.platform.set_faults(self.platform.store, outage="")
        for name in list(self.platform.runners)[1:]:
            self.platform.start_runner_again(name)
        self.crash_runners(CRASHES - RUNNERS)
        self.check_items_complete()

    def test_items_complete_after_their_node_was_replaced(self):
        self.submit()
        self.crash_runners(CRASHES // 2)
        for process in self.platform.node_processes:
            process.kill()
            process.start()
        self.platform.wait_ready()
        self.crash_runners(CRASHES // 2)
        self.check_items_complete()


if __name__ == "__main__":
    unittest.main()
