"""Tests that a node that got SIGTERM answers every request that it has read and passed on.

Guards against a node that ends while it serves calls for batch jobs, and against streams that are
accepted so late that the end of the grace period cuts them off.
"""

import http.client
import signal
import tempfile
import threading
import time
import unittest

from platform_fleet import HOST, Platform, stream_text
from fleet import wait_for

EVENT_MS = 950  # Streams take 4.75 s.
STREAM_AFTER_SECONDS = [2.9, 3.05, 3.1, 3.15]  # From SIGTERM, as the next.
JOB_AFTER_SECONDS = [1.8, 2.1, 2.4, 2.7]
STORE_DELAY_MS = 700  # A job takes several calls to the store.
END_SECONDS = 30


class StoppingNodeTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        options = {name: ["--gap-ms", EVENT_MS] for name in ("r0", "r1")}
        self.platform = Platform(self.directory.name, nodes=2, runner_options=options)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
        self.answers = {}

    def run_at(self, start, after, name, send):
        """Starts a thread that sends a request at its time and records its status; None: cut off."""
        def run():
            time.sleep(max(0.0, start + after - time.monotonic()))
            try:
                self.answers[name] = send(name)
            except (OSError, http.client.HTTPException):
                self.answers[name] = None

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def stop_node(self):
        start = time.monotonic()
        self.platform.node_processes[0].handle.send_signal(signal.SIGTERM)
        return start

    def wait_end(self, threads):
        for thread in threads:
            thread.join(END_SECONDS)
        self.assertEqual(self.platform.node_processes[0].handle.wait(END_SECONDS), 0)

    def open_connection(self):
        """Opens a connection to the first node that it serves before it is stopped."""
        host, port = self.platform.nodes[0].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=END_SECONDS)
        connection.request("GET", "/none", None, {"Host": HOST})
        connection.getresponse().read()
        self.addCleanup(connection.close)
        return connection

    @staticmethod
    def ask(connection, name):
        connection.request("POST", "/ask/1", b"q",
                           {"Host": HOST, "Stoathold-Attempt-Id": name,
                            "Stoathold-Deadline-Ms": "15000"})
        response = connection.getresponse()
        body = response.read().decode()
        return response.status if response.status != 200 or body == stream_text("q") else None

    def test_streams_on_open_connections_are_whole_or_rejected(self):
        connections = {"s%d" % index: self.open_connection()
                       for index in range(len(STREAM_AFTER_SECONDS))}
        start = self.stop_node()
        threads = [self.run_at(start, after, name, lambda n: self.ask(connections[n], n))
                   for name, after in zip(connections, STREAM_AFTER_SECONDS)]
        self.wait_end(threads)
        cut = [name for name, status in self.answers.items()
               if status is None and self.platform.runs(name) > 0]
        self.assertEqual(cut, [], self.answers)

    def test_jobs_that_were_read_are_answered(self):
        self.assertEqual(self.platform.submit(0, "first", 1), 202)
        self.platform.set_faults(self.platform.store, delay_ms=STORE_DELAY_MS)
        start = self.stop_node()
        threads = [self.run_at(start, after, "j%d" % index,
                               lambda n: self.platform.submit(0, n, 1))
                   for index, after in enumerate(JOB_AFTER_SECONDS)]
        self.wait_end(threads)
        self.platform.set_faults(self.platform.store, delay_ms=0)
        taken = [name for name, status in self.answers.items() if status is None and
                 self.is_stored(name)]
        self.assertEqual(taken, [], self.answers)
        self.assertIn(202, self.answers.values())

    def is_stored(self, job):
        """Returns whether the store holds a job, once another node knows."""
        def is_known():
            return self.platform.results(1, job)[0] in (200, 404)

        wait_for(is_known, "what became of " + job, END_SECONDS)
        return self.platform.results(1, job)[0] == 200

    def test_held_reads_are_answered(self):
        self.assertEqual(self.platform.submit(1, "held", 1), 202)
        start = self.stop_node()
        threads = [self.run_at(start, after, "read%d" % index,
                               lambda _: self.platform.results(0, "held", after=1)[0])
                   for index, after in enumerate([2.5, 2.6, 2.7])]
        self.wait_end(threads)
        self.assertNotIn(None, self.answers.values(), self.answers)


if __name__ == "__main__":
    unittest.main()
