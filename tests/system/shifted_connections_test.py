"""Tests that a node serves what it reads while nearly all new connections of a zone go to it.

Guards against a node that is overwhelmed when a load balancer sends it most new connections, and then
another one, while callers open a connection for each request.
"""

import http.client
import random
import tempfile
import threading
import time
import unittest

from platform_fleet import Platform, stream_text

NODES = 6
RUNNERS = 8
CALLERS = 40
CALM_SECONDS = 4.0
SHIFT_SECONDS = 6.0
CONTACT_SECONDS = 3.0
OTHER_NODES_SHARE = 0.1
MIN_SERVED_SHARE = 0.75  # Of the share in the calm time.


class ShiftedConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        options = {"r%d" % index: ["--slots", "16"] for index in range(RUNNERS)}
        self.platform = Platform(self.directory.name, NODES, RUNNERS, runner_options=options,
                                 node_zones=["z%d" % (index % 3 + 1) for index in range(NODES)])
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        self.stopped = threading.Event()
        self.favoured_node = None
        self.answers = []  # (time sent, node, served whole), without connections that failed.
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()

    def run_caller(self, number):
        plan = random.Random(number)
        sequence = 0
        while not self.stopped.is_set():
            sequence += 1
            node = plan.randrange(NODES)
            if self.favoured_node is None:
                time.sleep(0.05)
            elif plan.random() >= OTHER_NODES_SHARE:
                node = self.favoured_node
            self.ask(node, "c%dx%d" % (number, sequence))

    def ask(self, node, request):
        sent = time.monotonic()
        try:
            status, _, body = self.platform.ask(node, request, request.encode())
        except ConnectionRefusedError:
            return
        except (OSError, http.client.HTTPException):
            status, body = None, b""
        whole = status == 200 and body.decode() == stream_text(request)
        self.answers.append((sent, node, whole))

    def served_share(self, begin, end, node=None):
        served = [whole for sent, asked, whole in self.answers
                  if begin <= sent < end and node in (None, asked)]
        self.assertGreater(len(served), CALLERS)
        return sum(served) / len(served)

    def test_node_with_most_new_connections_serves_what_it_reads(self):
        callers = [threading.Thread(target=self.run_caller, args=(number,), daemon=True)
                   for number in range(CALLERS)]
        start = time.monotonic()
        for caller in callers:
            caller.start()
        time.sleep(CALM_SECONDS)
        calm_end = time.monotonic()
        shifts = []
        for node in (0, 1):
            self.favoured_node = node
            begin = time.monotonic()
            time.sleep(SHIFT_SECONDS)
            shifts.append((node, begin + CONTACT_SECONDS, time.monotonic()))
        self.stopped.set()
        for caller in callers:
            caller.join(30)
        calm = self.served_share(start, calm_end)
        for node, begin, end in shifts:
            self.assertGreaterEqual(self.served_share(begin, end, node), MIN_SERVED_SHARE * calm)


if __name__ == "__main__":
    unittest.main()
