"""Tests recovery after all nodes are killed at once and restart behind links of 30 Mbit/s.

Guards against accepted items that neither complete nor fail after a restart of all nodes. Nodes
that restarted half a second after the loss held all slots again at once
(`slots_changed held=8 gained=8 lost=0`), yet most of the open items stayed open.

Once the store has dropped its history, a request can only be read with the newest records of its
partition: a page of up to 1 MB for 15 kB. The tests therefore compare the bytes that nodes read
with the size of the open requests. Recovery time is not checked beyond a timeout.
"""

import json
import re
import signal
import unittest

from narrow_links import NarrowLinksTest
from platform_fleet import HOST, LARGE_SIZES
from fleet import call, call_json, wait_for

NODES = 3
# 30 Mbit/s from each node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
ITEMS = 20
FINISHED_JOBS = 40
OPEN_JOBS = 20
# Items of a service without runners: they stay readable as waiting.
WAITING_JOB = "waiting"
ROUTE_WITHOUT_RUNNERS = {"name": "later", "host": HOST, "path_prefix": "/later/", "kind": "batch",
                 "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent",
                 "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                 "max_queued_tokens": 100000}
# Timeout in which the links could transfer all open requests 100 times.
COMPLETION_TIMEOUT_SECONDS = 120.0
# How often each open request may be read, as text, and what else a node may read at its start.
MAX_READS_PER_OPEN_REQUEST = 4
START_BYTES_PER_NODE = 2e6

COUNTED_EVENTS = ("item_read_retried", "job_load_retried", "item_unreadable", "store_lost",
                  "job_started", "job_loaded", "job_finished", "item_done", "item_listed")


class RecoveryPathTest(NarrowLinksTest):
    NODES = NODES
    RUNNERS = 2

    def setUp(self):
        super().setUp()
        self.open_jobs = ["open%d" % number for number in range(OPEN_JOBS)]
        self.starts = 0

    # State before the loss.

    def prepare_jobs(self):
        """Creates finished and open jobs, then makes the store drop its history."""
        self.bring_up([ROUTE_WITHOUT_RUNNERS], extra_services=["absent"])
        finished = ["finished%d" % number for number in range(FINISHED_JOBS)]
        for number, job in enumerate(finished):
            self.assertEqual(self.platform.submit(number % NODES, job, ITEMS), 202)
        for job in finished:
            self.platform.wait_results(0, job, ITEMS)
        self.set_runners_rejecting(True)
        for number, job in enumerate(self.open_jobs):
            self.assertEqual(self.platform.submit(number % NODES, job, ITEMS), 202)
        self.assertEqual(self.platform.submit(0, WAITING_JOB, ITEMS, prefix="/later/"), 202)
        self.platform.set_faults(self.platform.store, drop_history=True)

    # The loss.

    def kill_all(self):
        for process in self.platform.node_processes:
            process.handle.kill()
        for process in self.platform.node_processes:
            process.kill()

    def start_all(self):
        self.starts += 1
        for link in self.store_links:
            link.limit_rate(LINK_BYTES_PER_SECOND)
        for process in self.platform.node_processes:
            process.start()

    def log_of(self, node):
        return self.platform.node_processes[node].log_path.read_text(errors="replace")

    def count(self, event):
        return sum(len(re.findall(r"\b%s\b" % event, self.log_of(node))) for node in range(NODES))

    def recover(self):
        """Starts all nodes and waits until each open item has run."""
        self.set_runners_rejecting(False)
        before = {event: self.count(event) for event in COUNTED_EVENTS}
        read_before = [link.back.bytes for link in self.store_links]
        self.start_all()
        try:
            wait_for(lambda: not self.missing(), "the open items to run",
                     COMPLETION_TIMEOUT_SECONDS)
        except TimeoutError:
            pass
        missing = self.missing()
        read = [link.back.bytes - bytes_before
                for link, bytes_before in zip(self.store_links, read_before)]
        figures = {event: self.count(event) - before[event] for event in COUNTED_EVENTS}
        figures.update({"items_not_run": len(missing), "bytes_read": read})
        print("%s: %s" % (self.id().rsplit(".", 1)[1], json.dumps(figures)), flush=True)
        self.assertEqual(missing, [], figures)
        self.check_bytes(read)
        self.check_results()

    def missing(self):
        """Returns the open items that no runner has run."""
        runs = set()
        for address in self.platform.runners.values():
            runs.update(call_json(address, "GET", "/admin/runs")[1])
        return [item for job in self.open_jobs for item in self.item_names(job) if item not in runs]

    @staticmethod
    def item_names(job):
        return ["%s-%d" % (job, index) for index in range(ITEMS)]

    def check_bytes(self, read):
        """Checks that the bytes read are proportional to the open requests, not to all jobs."""
        open_bytes = (OPEN_JOBS + 1) * ITEMS * LARGE_SIZES.body_bytes
        limit = MAX_READS_PER_OPEN_REQUEST * open_bytes + self.starts * NODES * START_BYTES_PER_NODE
        self.assertLessEqual(sum(read), limit)

    def check_results(self):
        for number, job in enumerate(self.open_jobs):
            results = self.platform.wait_results(number % NODES, job, ITEMS)
            self.assertEqual(sorted(result["id"] for result in results),
                             sorted(self.item_names(job)))
            for result in results:
                index = int(result["id"].rsplit("-", 1)[1])
                self.assertEqual(result["message"], LARGE_SIZES.item_text(index))
        for node in range(NODES):
            wait_for(lambda n=node: self.platform.results(n, WAITING_JOB)[0] == 200, "the job")
            self.assertEqual(self.platform.results(node, WAITING_JOB)[1]["total"], ITEMS)
            for index in range(ITEMS):
                self.assertEqual(self.platform.item_body(node, WAITING_JOB, index),
                                 (200, LARGE_SIZES.item_body(index)))

    # Times at which the nodes are killed.

    def test_all_nodes_are_killed_at_once(self):
        self.prepare_jobs()
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_again_while_they_load_their_jobs(self):
        self.prepare_jobs()
        self.kill_all()
        started = self.count("job_started")
        self.start_all()
        wait_for(lambda: self.count("job_started") > started, "jobs to be started")
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_during_a_graceful_shutdown(self):
        self.prepare_jobs()
        self.platform.node_processes[0].handle.send_signal(signal.SIGTERM)
        wait_for(lambda: call(self.platform.ready[0], "GET", "/api/ready")[0] == 503, "the stop")
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_while_slots_move(self):
        self.prepare_jobs()
        process = self.platform.node_processes[2]
        self.assertEqual(process.stop(), 0)
        changes = self.count("slots_changed")
        process.start()
        wait_for(lambda: self.count("slots_changed") > changes, "slots to move")
        self.kill_all()
        self.recover()


if __name__ == "__main__":
    unittest.main(verbosity=2)
