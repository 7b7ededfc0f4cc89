"""Tests that items of a service without runners do not block the items of other services.

Guards against head-of-line blocking: a node processes at most 256 items at a time, oldest first,
and items that wait for a runner slot count. Once 256 items wait for a service without runners, no
newer item of any other service starts at that node although its runners are idle. With one node and
one runner a job of 3 items was listed after 0.7 s behind 200 such items; behind 300 it had no result
after 40 s, and the node logged

    items_open  items=303  stages=waiting_for_turn=47/42.89,waiting_for_slot=256/43.94
"""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from platform_fleet import HOST, Platform, Sizes  # noqa: E402
from fleet import wait_for  # noqa: E402

QUEUED_TOKENS = 100000000
# Record sizes that fit a submission of this many items.
SIZES = Sizes(record_bytes=262144, call_bytes=2097152, status_seconds=1200,
              queued_tokens=QUEUED_TOKENS)
ROUTE_WITHOUT_RUNNERS = {"name": "later", "host": HOST, "path_prefix": "/later/", "kind": "batch",
                 "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent",
                 "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                 "max_queued_tokens": QUEUED_TOKENS}
WAITING_JOBS = 3
WAITING_ITEMS = 100
ITEMS = 3


class ServiceWithoutRunnersTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.platform = Platform(self.directory.name, 1, 1, sizes=SIZES)
        self.addCleanup(self.platform.stop)
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1, [ROUTE_WITHOUT_RUNNERS], extra_services=["absent"])
        self.platform.wait_ready()

    def are_items_open(self):
        """Whether the node has logged all items of the service without runners as open."""
        log = self.platform.node_processes[0].log_path.read_text(errors="replace")
        return '"items":"%d"' % (WAITING_JOBS * WAITING_ITEMS) in log

    def test_items_of_other_services_are_run(self):
        for number in range(WAITING_JOBS):
            status = self.platform.submit(0, "waiting%d" % number, WAITING_ITEMS, prefix="/later/")
            self.assertEqual(status, 202)
        wait_for(self.are_items_open, "the items of the service without runners")
        self.assertEqual(self.platform.submit(0, "other", ITEMS), 202)
        results = self.platform.wait_results(0, "other", ITEMS)
        self.assertEqual({result["state"] for result in results}, {"completed"})


if __name__ == "__main__":
    unittest.main(verbosity=2)
