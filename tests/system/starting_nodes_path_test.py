"""Tests that restarted nodes answer from the newest configuration only.

Guards against nodes that apply each version of the history while they read it, and so answer 404
for a route that a later version adds. The store holds many large versions; all nodes are killed
right after the last one is acknowledged, once or twice, and restart behind links of 30 Mbit/s. From
the start on, clients request a route that the last version added and one that it removed.
"""

import threading
import time
import unittest

from narrow_links import NarrowLinksTest
from platform_fleet import HOST
from fleet import call

# 30 Mbit/s from each node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
NODES = 3
VERSIONS = 30
# About 400 kB per version.
ROUTES_PER_VERSION = 1400
# How long requests continue after a node becomes ready.
REQUEST_SECONDS = 3.0
READY_SECONDS = 60.0
REQUEST_INTERVAL_SECONDS = 0.02


def route(name):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": "streaming",
            "timeout_ms": 20000, "target_latency_ms": 5000, "service": "chat", "max_attempts": 2,
            "session_affinity": True, "resumable": True, "gap_target_ms": 5000}


IDLE_ROUTES = [route("idle-%d" % number) for number in range(ROUTES_PER_VERSION)]


class RouteClient:
    """Requests some routes of one node in a loop and counts responses by route and status."""

    def __init__(self, platform, node, names):
        self.platform = platform
        self.node = node
        self.names = names
        self.answers = {name: {} for name in names}
        self.ready_after = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        start = time.monotonic()
        until = start + READY_SECONDS
        while time.monotonic() < until:
            if self.ready_after is None and self.is_ready():
                self.ready_after = time.monotonic() - start
                until = time.monotonic() + REQUEST_SECONDS
            for name in self.names:
                self.ask(name)
            time.sleep(REQUEST_INTERVAL_SECONDS)

    def is_ready(self):
        try:
            return call(self.platform.ready[self.node], "GET", "/api/ready", timeout=1.0)[0] == 200
        except OSError:
            return False

    def ask(self, name):
        headers = {"Host": HOST, "Stoathold-Attempt-Id": "%s-%f" % (name, time.monotonic()),
                   "Stoathold-Deadline-Ms": "2000"}
        try:
            status = call(self.platform.nodes[self.node], "POST", "/%s/1" % name, b"q", headers)[0]
        except OSError:
            status = None
        counts = self.answers[name]
        counts[status] = counts.get(status, 0) + 1


class StartingNodesPathTest(NarrowLinksTest):
    NODES = NODES
    RUNNERS = 2

    def setUp(self):
        super().setUp()
        self.version = 1
        self.bring_up([route("old")])
        for _ in range(VERSIONS):
            self.publish("old")
        self.platform.wait_ready()

    def publish(self, name):
        self.version += 1
        self.platform.configure(self.version, [route(name)] + IDLE_ROUTES)

    def restart_all_nodes(self):
        for process in self.platform.node_processes:
            process.handle.kill()
        for link in self.store_links:
            link.limit_rate(LINK_BYTES_PER_SECOND)
        for process in self.platform.node_processes:
            process.kill()
            process.start()

    def ask_all(self, added, dropped):
        """Requests both routes at all nodes; returns the finished clients."""
        clients = [RouteClient(self.platform, node, [added, dropped]) for node in range(NODES)]
        for each in clients:
            each.thread.join(READY_SECONDS + 3 * REQUEST_SECONDS)
        return clients

    def check(self, clients, added, dropped):
        for each in clients:
            print("node %d, ready after %s s: %s" % (each.node, each.ready_after, each.answers),
                  flush=True)
        for each in clients:
            self.assertIsNotNone(each.ready_after)
            self.assertNotIn(404, each.answers[added], "the route that was added")
            self.assertNotIn(200, each.answers[dropped], "the route that was dropped")
            self.assertIn(200, each.answers[added])
            self.assertIn(404, each.answers[dropped])

    def test_restarted_nodes_never_answer_from_a_replaced_version(self):
        self.publish("new")
        self.restart_all_nodes()
        self.check(self.ask_all("new", "old"), "new", "old")

    def test_second_restart_right_after_the_next_change(self):
        self.publish("new")
        self.restart_all_nodes()
        time.sleep(0.3)
        self.publish("newer")
        self.restart_all_nodes()
        self.check(self.ask_all("newer", "new"), "newer", "new")


if __name__ == "__main__":
    unittest.main()
