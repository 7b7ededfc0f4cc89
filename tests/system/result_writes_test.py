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

import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from link_proxy import LinkLoop  # noqa: E402
from platform_fleet import LARGE_SIZES, Platform  # noqa: E402
from fleet import call_json, wait_for  # noqa: E402

# The share of one of six nodes in 60 Mbit/s, which all nodes of a region have to the store.
LINK_BYTES_PER_SECOND = 10e6 / 8
# Half of them are of the node behind that link, more than it runs at a time.
JOBS = 40
ITEMS = 20
# No item begins in so long: all that can be run without the store has been.
QUIET_SECONDS = 4.0
# Nothing more is expected after this time; the link could carry all results 20 times.
GIVE_UP_SECONDS = 90.0


class ResultWritesTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.loop = LinkLoop()
        self.links = {}
        self.platform = Platform(self.directory.name, 2, 4, self.make_link, sizes=LARGE_SIZES)
        self.addCleanup(self.platform.stop)
        self.jobs = ["job%d" % number for number in range(JOBS)]

    def make_link(self, kind, name, address):
        if kind != "store":
            return address
        self.links[name] = self.loop.open(address)
        return self.links[name].address

    def turn_away(self, turned_away):
        for address in self.platform.runners.values():
            self.platform.faults(address, not_run=turned_away)

    def take_up_jobs(self):
        """All jobs are accepted and read; no runner has run any item yet."""
        for name in self.platform.runners:
            self.platform.list_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
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

    def listed(self):
        """The items that are listed, as the node with a wide link tells them."""
        return sum(len(self.platform.results(1, job)[1]["results"]) for job in self.jobs)

    def test_all_results_are_listed(self):
        self.take_up_jobs()
        runs = self.run_without_store()
        link = self.links["node0"]
        link.bound(LINK_BYTES_PER_SECOND)
        before = link.forward.bytes
        self.platform.faults(self.platform.store, outage="")
        try:
            wait_for(lambda: self.listed() == JOBS * ITEMS, "all results", GIVE_UP_SECONDS)
        except TimeoutError:
            pass
        listed = self.listed()
        print("%d items run without the store, %d of %d listed, node 0 sent %d bytes" % (
            runs, listed, JOBS * ITEMS, link.forward.bytes - before), flush=True)
        self.assertEqual(listed, JOBS * ITEMS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
