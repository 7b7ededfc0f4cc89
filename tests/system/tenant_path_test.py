"""Tests API keys, tenants and rate limits with real processes: store, runners and nodes.

Steps wait for events and are bounded by counts; no test asserts how long a step takes.
"""

import pathlib
import tempfile
import unittest

from platform_fleet import Platform
from fleet import wait_for


def tenant(name, *keys, rate=0, burst=0):
    return {"name": name, "api_keys": list(keys), "rate_per_s": rate, "burst": burst}


class TenantPathTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        self.requests_sent = 0

    def start(self, *tenants):
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1, tenants=list(tenants))
        self.platform.wait_ready()

    def ask(self, node, key):
        self.requests_sent += 1
        return self.platform.ask(node, "t%d" % self.requests_sent, key=key)[0]

    def test_only_known_keys_are_served_and_no_key_is_logged(self):
        self.start(tenant("alder", "secret-of-alder"))
        for node in range(3):
            self.assertEqual(self.ask(node, "secret-of-alder"), 200)
            self.assertEqual(self.ask(node, "secret-of-nobody"), 401)
            self.assertEqual(self.ask(node, None), 401)

        def logs():
            return "".join(path.read_text(errors="replace")
                           for path in pathlib.Path(self.directory.name).glob("*.log"))

        wait_for(lambda: logs().count("caller_refused") >= 6, "the refusals in the logs")
        self.assertNotIn("secret-of-", logs())

    def test_revoked_key_is_rejected_even_without_store_access(self):
        self.start(tenant("alder", "first", "second"))
        # A relayed job shows that the node has discovered the others.
        self.platform.disconnect_store(0)
        wait_for(lambda: self.platform.submit(0, "k1", key="first") == 202, "k1 to be accepted")
        self.platform.configure(4, tenants=[tenant("alder", "second")])
        for node in range(3):
            wait_for(lambda n=node: self.ask(n, "first") == 401, "version 4 at node %d" % node)
            self.assertEqual(self.ask(node, "second"), 200)
        # An older version that arrives late has no effect.
        self.platform.configure(3, tenants=[tenant("alder", "first", "second")])
        for node in range(3):
            self.assertEqual(self.ask(node, "first"), 401)

    def test_rate_limit_is_shared_by_all_nodes(self):
        # The rate is so low that only the burst matters.
        self.start(tenant("alder", "first", rate=0.001, burst=30), tenant("birch", "other"))
        served = 0
        for attempt in range(150):
            status = self.ask(attempt % 3, "first")
            self.assertIn(status, (200, 429))
            served += status == 200
        # Requests admitted before nodes have exchanged usage reports may exceed the limit once.
        self.assertGreaterEqual(served, 1)
        self.assertLessEqual(served, 40)
        self.assertEqual(self.ask(0, "other"), 200)

    def test_jobs_are_visible_to_their_tenant_only_and_outlive_their_key(self):
        self.start(tenant("alder", "a1", "a2"), tenant("birch", "b1"))
        self.assertEqual(self.platform.submit(0, "k2", key="a1"), 202)
        self.platform.configure(2, tenants=[tenant("alder", "a2"), tenant("birch", "b1")])
        for node in range(3):
            wait_for(lambda n=node: self.ask(n, "a1") == 401, "version 2 at node %d" % node)
        self.assertEqual(len(self.platform.wait_results(1, "k2", 3, key="a2")), 3)
        self.assertEqual(self.platform.results(2, "k2", key="b1")[0], 404)
        self.assertEqual(self.platform.results(2, "k2", key="a1")[0], 401)


if __name__ == "__main__":
    unittest.main()
