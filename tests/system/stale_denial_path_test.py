"""Tests that a node never answers 404 from a configuration that may be outdated.

Running nodes lose contact with the store, because its responses are lost or the node is suspended,
while a new version adds a route. Until a node has that version it may reject requests for the route
as not run (503 with Retry-After), so that clients retry, but must not deny them with 404.
"""

import threading
import time
import unittest

from narrow_links import NarrowLinksTest
from platform_fleet import HOST
from starting_nodes_path_test import route
from fleet import call, wait_for

NODES = 3
# Longer than a confirmation by the store stays valid.
STALE_SECONDS = 1.0
REQUESTS = 20


class StaleDenialPathTest(NarrowLinksTest):
    NODES = NODES
    RUNNERS = 2

    def setUp(self):
        super().setUp()
        self.bring_up([route("old")])
        # Gives the nodes time to learn of one another from their digests.
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

    def publish_while_silenced(self, nodes):
        """Silences the store links of some nodes and then publishes a version with a new route."""
        for node in nodes:
            self.store_links[node].silence()
        self.platform.configure(2, [route("old"), route("new")])
        time.sleep(STALE_SECONDS)

    def test_node_without_store_responses_never_answers_404(self):
        self.publish_while_silenced(range(NODES))
        for _ in range(REQUESTS):
            self.assertEqual(self.ask(0, "new"), 503)
            self.assertEqual(self.ask(0, "never-there"), 503)
        self.assertEqual(self.ask(0, "old"), 200)
        for link in self.store_links:
            link.heal()
        for node in range(NODES):
            wait_for(lambda n=node: self.ask(n, "new") == 200, "the new route")
            wait_for(lambda n=node: self.ask(n, "never-there") == 404, "a denial")

    def test_configuration_arrives_through_another_node(self):
        self.publish_while_silenced([0])
        answers = {self.ask(0, "new") for _ in range(REQUESTS)}
        self.assertLessEqual(answers, {200, 503})
        wait_for(lambda: self.ask(0, "new") == 200, "the new route")
        wait_for(lambda: self.ask(0, "never-there") == 404, "a denial")

    def test_resumed_node_does_not_answer_404_from_old_configuration(self):
        process = self.platform.node_processes[0]
        process.suspend()
        self.platform.configure(2, [route("old"), route("new")])
        time.sleep(STALE_SECONDS)
        answers = []
        clients = [threading.Thread(target=lambda: answers.append(self.ask(0, "new")))
                   for _ in range(REQUESTS)]
        for client in clients:
            client.start()
        time.sleep(0.2)
        process.resume()
        for client in clients:
            client.join()
        self.assertLessEqual(set(answers), {200, 503})
        self.assertEqual(len(answers), REQUESTS)


if __name__ == "__main__":
    unittest.main()
