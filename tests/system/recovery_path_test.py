"""All nodes are lost at once and come back behind narrow links, with real processes.

Accepted items were neither done nor given up, and nothing worked on them any more. It began when all
nodes ended together and came back half a second later; they held all slots again at once
(`slots_changed held=8 gained=8 lost=0`), and most of the open items stayed open to the end.

By then the store had forgotten its history, so that a request can only be read with the newest
records of its partition: a page of up to 1 MB for 15 kB. A node's link carries 30 Mbit/s. So what a
node reads is held against what is open; how long that takes is not judged, but for a time after
which nothing more is expected.
"""

import json
import re
import signal
import unittest

from narrow_links import NarrowLinksTest
from platform_fleet import HOST, LARGE_SIZES
from fleet import call, call_json, wait_for

NODES = 3
# 30 Mbit/s, of each node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
ITEMS = 20
FINISHED_JOBS = 40
OPEN_JOBS = 20
# Items of a service without runners: readable as waiting, for good.
WAITING_JOB = "waiting"
ROUTE_WITHOUT_RUNNERS = {"name": "later", "host": HOST, "path_prefix": "/later/", "kind": "batch",
                 "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent",
                 "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                 "max_queued_tokens": 100000}
# Nothing more is expected after this time; the links could carry all that is open 100 times.
GIVE_UP_SECONDS = 120.0
# Each open request may be read so often, as text, with what else a node reads at its start.
READS_OF_AN_OPEN_REQUEST = 4
START_BYTES_OF_A_NODE = 2e6

COUNTED_EVENTS = ("item_read_retried", "job_load_retried", "item_unreadable", "store_lost",
                  "job_started", "job_loaded", "job_finished", "item_done", "item_listed")


class RecoveryPathTest(NarrowLinksTest):
    NODES = NODES
    RUNNERS = 2

    def setUp(self):
        super().setUp()
        self.open_jobs = ["open%d" % number for number in range(OPEN_JOBS)]
        self.starts = 0

    # The day before the loss.

    def fill(self):
        """Many jobs are finished, many are open, and the store has forgotten its history."""
        self.bring_up([ROUTE_WITHOUT_RUNNERS], extra_services=["absent"])
        finished = ["finished%d" % number for number in range(FINISHED_JOBS)]
        for number, job in enumerate(finished):
            self.assertEqual(self.platform.submit(number % NODES, job, ITEMS), 202)
        for job in finished:
            self.platform.wait_results(0, job, ITEMS)
        self.turn_away(True)
        for number, job in enumerate(self.open_jobs):
            self.assertEqual(self.platform.submit(number % NODES, job, ITEMS), 202)
        self.assertEqual(self.platform.submit(0, WAITING_JOB, ITEMS, prefix="/later/"), 202)
        self.platform.faults(self.platform.store, drop_history=True)

    # The loss.

    def kill_all(self):
        for process in self.platform.node_processes:
            process.handle.kill()
        for process in self.platform.node_processes:
            process.kill()

    def start_all(self):
        self.starts += 1
        for link in self.store_links:
            link.bound(LINK_BYTES_PER_SECOND)
        for process in self.platform.node_processes:
            process.start()

    def log_of(self, node):
        return self.platform.node_processes[node].log_path.read_text(errors="replace")

    def count(self, event):
        return sum(len(re.findall(r"\b%s\b" % event, self.log_of(node))) for node in range(NODES))

    def recover(self):
        """Starts all nodes and waits until each open item has reached a runner."""
        self.turn_away(False)
        before = {event: self.count(event) for event in COUNTED_EVENTS}
        read_before = [link.back.bytes for link in self.store_links]
        self.start_all()
        try:
            wait_for(lambda: not self.missing(), "the open items to run", GIVE_UP_SECONDS)
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
        self.check_promises()

    def missing(self):
        """The open items that no runner has run."""
        runs = set()
        for address in self.platform.runners.values():
            runs.update(call_json(address, "GET", "/admin/runs")[1])
        return [item for job in self.open_jobs for item in self.item_names(job) if item not in runs]

    @staticmethod
    def item_names(job):
        return ["%s-%d" % (job, index) for index in range(ITEMS)]

    def check_bytes(self, read):
        """What was read has to do with what is open, not with all that ever was."""
        open_bytes = (OPEN_JOBS + 1) * ITEMS * LARGE_SIZES.body_bytes
        most = READS_OF_AN_OPEN_REQUEST * open_bytes + self.starts * NODES * START_BYTES_OF_A_NODE
        self.assertLessEqual(sum(read), most)

    def check_promises(self):
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

    # The moments at which it happens.

    def test_all_nodes_are_killed_at_once(self):
        self.fill()
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_again_while_they_take_up_their_jobs(self):
        self.fill()
        self.kill_all()
        started = self.count("job_started")
        self.start_all()
        wait_for(lambda: self.count("job_started") > started, "jobs to be taken up")
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_during_a_planned_stop(self):
        self.fill()
        self.platform.node_processes[0].handle.send_signal(signal.SIGTERM)
        wait_for(lambda: call(self.platform.ready[0], "GET", "/api/ready")[0] == 503, "the stop")
        self.kill_all()
        self.recover()

    def test_all_nodes_are_killed_while_slots_move(self):
        self.fill()
        process = self.platform.node_processes[2]
        self.assertEqual(process.stop(), 0)
        changes = self.count("slots_changed")
        process.start()
        wait_for(lambda: self.count("slots_changed") > changes, "slots to move")
        self.kill_all()
        self.recover()


if __name__ == "__main__":
    unittest.main(verbosity=2)
