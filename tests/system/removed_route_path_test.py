"""Tests that jobs whose route is removed come to their end, whatever restarts meanwhile.

Guards against open items that nobody owns: a node reads the jobs of the hosts that its configuration
names, but holds slots of all jobs. A node that started after a route was removed neither ran nor gave
up the items of that route in its slots; after a restart of all nodes none did.
"""

import base64
import tempfile
import time
import unittest

from platform_fleet import Platform, Sizes
from fleet import call, call_json, wait_for

NODES = 3
ITEMS = 3
# Hosts that together use several partitions of the jobs topic.
HOSTS = ["retired%d.example" % number for number in range(5)]
OUTAGE_SECONDS = 2.0
# Longer than the time for which a route is missing before its items are given up.
GRACE_SECONDS = 7.0
SIZES = Sizes(record_bytes=262144, call_bytes=2097152)


def route_of(host):
    """Returns a batch route of a service without runners, whose items stay open."""
    return {"name": "batch of " + host, "host": host, "path_prefix": "/later/", "kind": "batch",
            "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent", "max_attempts": 3,
            "completion_target_ms": 20000, "retention_s": 600, "max_queued_tokens": 100000}


class RemovedRoutePathTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.platform = Platform(directory.name, NODES, 1, sizes=SIZES)
        self.addCleanup(self.platform.stop)
        self.platform.register_runner("r0")
        self.routes = [route_of(host) for host in HOSTS]
        self.platform.configure(1, self.routes, extra_services=["absent"])
        self.platform.wait_ready()
        for number, host in enumerate(HOSTS):
            self.assertEqual(self.submit(number % NODES, host), 202)

    def submit(self, node, host):
        items = [{"id": "%s-%d" % (host, index), "path": "/later/1", "headers": {},
                  "body": base64.b64encode(b"question").decode(), "token_count": 100}
                 for index in range(ITEMS)]
        return call(self.platform.nodes[node], "POST", "/later/x", {"items": items},
                    {"Host": host, "Stoathold-Attempt-Id": host})[0]

    def states(self, node, host):
        """Returns the states of the listed items as a node shows them; nothing if it cannot."""
        status, page = call_json(self.platform.nodes[node], "GET",
                                 "/api/lots/%s?after_rev=0" % host, None, {"Host": host})
        return [result["state"] for result in page["results"]] if status == 200 else None

    def remove_routes(self):
        self.platform.configure(2)
        for node in range(NODES):
            wait_for(lambda n=node: call(self.platform.nodes[n], "POST", "/later/x", {"items": []},
                                         {"Host": HOSTS[0], "Stoathold-Attempt-Id": "none"})[0] == 404,
                     "node %d to drop the routes" % node)

    def kill_all(self):
        for process in self.platform.node_processes:
            process.kill()

    def restart_all_at_once(self):
        self.kill_all()
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()

    def restart_in_turn(self):
        for node, process in enumerate(self.platform.node_processes):
            process.kill()
            process.start()
            self.platform.wait_ready([node])

    def check_all_dead_lettered(self):
        for host in HOSTS:
            for node in range(NODES):
                wait_for(lambda h=host, n=node: self.states(n, h) == ["dead_lettered"] * ITEMS,
                         "the items of %s to end at node %d" % (host, node), 60.0)

    def test_items_end_after_a_restart_of_all_nodes(self):
        self.remove_routes()
        self.restart_all_at_once()
        self.check_all_dead_lettered()

    def test_items_end_after_restarts_in_turn_and_the_loss_of_the_history(self):
        self.remove_routes()
        self.platform.set_faults(self.platform.store, drop_history=True)
        self.restart_in_turn()
        self.check_all_dead_lettered()

    def test_items_end_although_the_store_is_away_during_the_restart(self):
        self.remove_routes()
        self.kill_all()
        self.platform.set_faults(self.platform.store, outage="busy")
        for process in self.platform.node_processes:
            process.start()
        time.sleep(OUTAGE_SECONDS)
        self.platform.set_faults(self.platform.store, outage="")
        self.platform.wait_ready()
        self.check_all_dead_lettered()

    def test_items_whose_route_is_back_are_kept(self):
        self.remove_routes()
        self.kill_all()
        self.platform.configure(3, self.routes, extra_services=["absent"])
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()
        time.sleep(GRACE_SECONDS)
        for host in HOSTS:
            for node in range(NODES):
                wait_for(lambda h=host, n=node: self.states(n, h) == [],
                         "the job of %s at node %d" % (host, node))


if __name__ == "__main__":
    unittest.main(verbosity=2)
