"""Tests that results held back during a store outage are written once the store is back.

During the outage a node keeps the results of the items it runs. Guards against congestion collapse
afterwards: appends to all partitions started at once, each with a timeout of 1 s, and were retried
unchanged. On a link that cannot transfer them in about a second every append timed out, and so did
all other calls, including the renewal of the node's membership:

    store_traffic  calls=62  time_outs=62  append:job-results=49/11996448/0/49  join:job-workers=3/834/0/3
    items_open     items=363  stages=writing_result=363/63.62

One node behind 10 Mbit/s with 320 results of 12 kB listed 37 of 400 items in 60 s; behind 30 Mbit/s
it listed all. Of two nodes with 320 results each, the one behind 10 Mbit/s listed none in 90 s and
sent 117 MB, although its results total 4 MB.
"""

import time
import unittest

from narrow_links import NarrowLinksTest
from fleet import call_json, wait_for

# One sixth of the 60 Mbit/s to the store that the six nodes of a region share.
LINK_BYTES_PER_SECOND = 10e6 / 8
# The node behind that link owns half of them, which is more than it runs at a time.
JOBS = 40
ITEMS = 20
# If no item starts in this time, everything that can run without the store has run.
QUIET_SECONDS = 4.0
# Timeout in which the link could transfer all results 20 times.
COMPLETION_TIMEOUT_SECONDS = 90.0


class ResultWritesTest(NarrowLinksTest):
    NODES = 2

    def setUp(self):
        super().setUp()
        self.jobs = ["job%d" % number for number in range(JOBS)]

    def load_jobs(self):
        """Has all jobs accepted and loaded while runners reject every item."""
        self.bring_up()
        self.set_runners_rejecting(True)
        for number, job in enumerate(self.jobs):
            self.assertEqual(self.platform.submit(number % 2, job, ITEMS), 202)
        time.sleep(QUIET_SECONDS)

    def run_without_store(self):
        """Starts a store outage and waits until no more items start; returns the items run."""
        self.platform.set_faults(self.platform.store, outage="busy")
        self.set_runners_rejecting(False)
        runs, before = self.runs(), -1
        while runs > before:
            time.sleep(QUIET_SECONDS)
            runs, before = self.runs(), runs
        return runs

    def runs(self):
        return sum(len(call_json(address, "GET", "/admin/runs")[1])
                   for address in self.platform.runners.values())

    def count_listed(self, job):
        """Counts the listed items of a job over all of its result pages."""
        listed = 0
        while True:
            results = self.platform.results(1, job, listed)[1].get("results")
            if not results:
                return listed
            listed += len(results)

    def listed(self):
        """Counts the listed items of all jobs at the node without a rate limit."""
        return sum(self.count_listed(job) for job in self.jobs)

    def test_all_results_are_listed(self):
        self.load_jobs()
        runs = self.run_without_store()
        link = self.store_links[0]
        link.limit_rate(LINK_BYTES_PER_SECOND)
        before = link.forward.bytes
        self.platform.set_faults(self.platform.store, outage="")
        counts = []

        def all_are_listed():
            counts.append(self.listed())
            return counts[-1] == JOBS * ITEMS

        try:
            wait_for(all_are_listed, "all results", COMPLETION_TIMEOUT_SECONDS)
        except TimeoutError:
            pass
        listed = counts[-1]
        print("%d items run without the store, %d of %d listed, node 0 sent %d bytes" % (
            runs, listed, JOBS * ITEMS, link.forward.bytes - before), flush=True)
        self.assertEqual(listed, JOBS * ITEMS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
