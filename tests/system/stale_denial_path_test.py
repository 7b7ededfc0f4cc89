"""A node denies nothing by a configuration that may have been replaced, with real processes.

Nodes that run lose touch with the store: their answers are lost, or they are suspended. Meanwhile a
version adds a route. Until a node has it, a request for the route may be refused as not run, so
that its caller comes again, and is never denied.
"""

import threading
import time
import unittest

from narrow_links import NarrowLinksTest
from platform_fleet import HOST
from starting_nodes_path_test import route
from fleet import call, wait_for

NODES = 3
# Longer than a confirmation by the store counts.
STALE_SECONDS = 1.0
ASKED_TIMES = 20


class StaleDenialPathTest(NarrowLinksTest):
    NODES = NODES
    RUNNERS = 2

    def setUp(self):
        super().setUp()
        self.bring_up([route("old")])
        # Nodes know one another by the digests of each.
        self.platform.ask(0, "warm-up")
        time.sleep(STALE_SECONDS)

    def ask(self, node, name):
        headers = {"Host": HOST, "Stoathold-Attempt-Id": "%s-%f" % (name, time.monotonic()),
                   "Stoathold-Deadline-Ms": "5000"}
        status, answer_headers, _ = call(self.platform.nodes[node], "POST", "/%s/1" % name, b"q",
                                         headers)
        if status == 503:
            self.assertGreater(float(answer_headers["Retry-After"]), 0)
        return status

    def publish_unnoticed(self, nodes):
        """The store falls silent to some nodes, and then a route is added."""
        for node in nodes:
            self.store_links[node].silence()
        self.platform.configure(2, [route("old"), route("new")])
        time.sleep(STALE_SECONDS)

    def test_a_node_that_the_store_does_not_answer_denies_nothing(self):
        self.publish_unnoticed(range(NODES))
        for _ in range(ASKED_TIMES):
            self.assertEqual(self.ask(0, "new"), 503)
            self.assertEqual(self.ask(0, "never-there"), 503)
        self.assertEqual(self.ask(0, "old"), 200)
        for link in self.store_links:
            link.heal()
        for node in range(NODES):
            wait_for(lambda n=node: self.ask(n, "new") == 200, "the new route")
            wait_for(lambda n=node: self.ask(n, "never-there") == 404, "a denial")

    def test_another_node_brings_what_the_store_does_not(self):
        self.publish_unnoticed([0])
        answers = {self.ask(0, "new") for _ in range(ASKED_TIMES)}
        self.assertLessEqual(answers, {200, 503})
        wait_for(lambda: self.ask(0, "new") == 200, "the new route")
        wait_for(lambda: self.ask(0, "never-there") == 404, "a denial")

    def test_a_node_that_was_suspended_denies_nothing_by_what_it_knew(self):
        process = self.platform.node_processes[0]
        process.freeze()
        self.platform.configure(2, [route("old"), route("new")])
        time.sleep(STALE_SECONDS)
        answers = []
        callers = [threading.Thread(target=lambda: answers.append(self.ask(0, "new")))
                   for _ in range(ASKED_TIMES)]
        for caller in callers:
            caller.start()
        time.sleep(0.2)
        process.wake()
        for caller in callers:
            caller.join()
        self.assertLessEqual(set(answers), {200, 503})
        self.assertEqual(len(answers), ASKED_TIMES)


if __name__ == "__main__":
    unittest.main()
