"""Results that could not be written while the store was away are written once it is back.

A node keeps the results of what it has run while the store refuses all calls, and writes them
together afterwards: each job's partition by itself, all at the same time, each append with 1 s and
tried again as it was. On a link that does not carry all of them in about a second none came through,
and nothing else did, the node's own membership among it:

    store_traffic  calls=62  time_outs=62  append:job-results=49/11996448/0/49  join:job-workers=3/834/0/3
    items_open     items=363  stages=writing_result=363/63.62

That was one node behind 10 Mbit/s with 320 results of 12 kB: of 400 items 37 were listed in 60 s; on
30 Mbit/s all were. Of two nodes with 320 results each the one behind 10 Mbit/s listed none in 90 s
and sent 117 MB, where all of its results are 4 MB.
"""

import time
import unittest

from narrow_links import NarrowLinksTest
from fleet import call_json, wait_for

# The share of one of six nodes in 60 Mbit/s, which all nodes of a region have to the store.
LINK_BYTES_PER_SECOND = 10e6 / 8
# Half of them are of the node behind that link, more than it runs at a time.
JOBS = 40
ITEMS = 20
# No item begins in so long: all that can be run without the store has been.
QUIET_SECONDS = 4.0
# Nothing more is expected after this time; the link could carry all results 20 times.
GIVE_UP_SECONDS = 90.0


class ResultWritesTest(NarrowLinksTest):
    NODES = 2

    def setUp(self):
        super().setUp()
        self.jobs = ["job%d" % number for number in range(JOBS)]

    def take_up_jobs(self):
        """All jobs are accepted and read; no runner has run any item yet."""
        self.bring_up()
        self.turn_away(True)
        for number, job in enumerate(self.jobs):
            self.assertEqual(self.platform.submit(number % 2, job, ITEMS), 202)
        time.sleep(QUIET_SECONDS)

    def run_without_store(self):
        """The store refuses all calls until no more items begin."""
        self.platform.faults(self.platform.store, outage="busy")
        self.turn_away(False)
        runs, before = self.runs(), -1
        while runs > before:
            time.sleep(QUIET_SECONDS)
            runs, before = self.runs(), runs
        return runs

    def runs(self):
        return sum(len(call_json(address, "GET", "/admin/runs")[1])
                   for address in self.platform.runners.values())

    def listed_of(self, job):
        """The items of a job that are listed, read on to the end: a page may hold a part of them."""
        listed = 0
        while True:
            results = self.platform.results(1, job, listed)[1].get("results")
            if not results:
                return listed
            listed += len(results)

    def listed(self):
        """The items that are listed, as the node with a wide link tells them."""
        return sum(self.listed_of(job) for job in self.jobs)

    def test_all_results_are_listed(self):
        self.take_up_jobs()
        runs = self.run_without_store()
        link = self.store_links[0]
        link.bound(LINK_BYTES_PER_SECOND)
        before = link.forward.bytes
        self.platform.faults(self.platform.store, outage="")
        counts = []

        def all_are_listed():
            counts.append(self.listed())
            return counts[-1] == JOBS * ITEMS

        try:
            wait_for(all_are_listed, "all results", GIVE_UP_SECONDS)
        except TimeoutError:
            pass
        listed = counts[-1]
        print("%d items run without the store, %d of %d listed, node 0 sent %d bytes" % (
            runs, listed, JOBS * ITEMS, link.forward.bytes - before), flush=True)
        self.assertEqual(listed, JOBS * ITEMS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
