"""Tests that a quarantine that is wrong ends: a request that ends no runner any more is run again.

Guards against items that are not run until their retention ends, and against callers that are refused for
as long, although the request is harmless.
"""

import http.client
import tempfile
import unittest

from platform_fleet import SMALL_SIZES, Platform, item_text, stream_text
from fleet import call, wait_for

EVENT_BYTES = SMALL_SIZES.event_bytes
CRASH_BODY = SMALL_SIZES.item_body(0).decode()
NODES = 3
WAIT_SECONDS = 60.0
MAX_CRASHES = 6


class WrongQuarantineTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name, runners=4, crash_body=CRASH_BODY)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        self.requests_sent = 0
        self.crashes = 0
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()

    def ask(self, node):
        """Sends the request with a new id; returns (status, body), status None if cut."""
        self.requests_sent += 1
        try:
            status, _, body = self.platform.ask(node, "a%d" % self.requests_sent,
                                                CRASH_BODY.encode())
        except (OSError, http.client.HTTPException):
            return None, b""
        return status, body.decode()

    def quarantined_requests(self, node):
        page = call(self.platform.ready[node], "GET", "/metrics")[2].decode()
        values = [line.split()[-1] for line in page.splitlines()
                  if line.startswith("stoathold_quarantined_requests ")]
        return float(values[0]) if values else 0

    def crash_runners_by_item(self):
        """Lets an item end runners; an accepted item is still owed, and quarantined nowhere."""
        self.assertEqual(self.platform.submit(0, "job", 1), 202)

        def crashed_often():
            self.crashes += self.platform.restart_ended_runners()
            return self.crashes >= MAX_CRASHES

        wait_for(crashed_often, "crashes by the item", WAIT_SECONDS)
        for node in range(NODES):
            self.assertEqual(self.quarantined_requests(node), 0)

    def quarantine_online_request(self):
        def refused():
            self.crashes += self.platform.restart_ended_runners()
            return all(self.ask(node)[0] == 503 for node in range(NODES))

        wait_for(refused, "the quarantine", WAIT_SECONDS)

    def make_request_harmless(self):
        """Replaces all runners by ones that the request does not end."""
        self.crashes += self.platform.restart_ended_runners()
        self.platform.crash_body = None
        for process in self.platform.runner_processes:
            process.kill()
        self.platform.restart_ended_runners()

    def restart_nodes(self):
        for process in self.platform.node_processes:
            process.kill()
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()

    def check_item_completes(self):
        results = self.platform.wait_results(1, "job", 1)
        self.assertEqual([result["state"] for result in results], ["completed"])
        self.assertEqual(results[0]["message"], item_text(0))

    def test_item_completes(self):
        self.crash_runners_by_item()
        self.make_request_harmless()
        self.check_item_completes()

    def test_item_completes_after_all_nodes_restart(self):
        self.crash_runners_by_item()
        self.make_request_harmless()
        self.restart_nodes()
        self.check_item_completes()

    def test_online_request_is_served_again_by_all_nodes(self):
        self.quarantine_online_request()
        self.assertLessEqual(self.crashes, MAX_CRASHES)
        self.make_request_harmless()
        for node in range(NODES):
            wait_for(lambda n=node: self.ask(n) == (200, stream_text(CRASH_BODY[:EVENT_BYTES])),
                     "an answer of node %d" % node, WAIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
