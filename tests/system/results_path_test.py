"""Callers ask for the results of several jobs at once at a node that has just come back.

They got none. After a restart a node knows no results, and once the store has dropped its history it
reads those of a job with the newest records of their partition: pages of up to 1 MB, 1.33 MB as
text, each within 1 s. 30 Mbit/s carry one in 0.36 s. Callers' reads are not counted among the two
reads at a time of the jobs that the node runs. So with 8 callers none came in time, all were given
up and asked for anew: 223 MB were read in 60 s and not one of 800 results was listed, where all of
them are 13 MB.
"""

import json
import threading
import unittest

from narrow_links import NarrowLinksTest
from fleet import wait_for

# 30 Mbit/s to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
# Two pages of results each.
JOBS = 8
ITEMS = 100
# Nothing more is expected after this time; the link could carry all results 15 times.
GIVE_UP_SECONDS = 60.0


class ResultsPathTest(NarrowLinksTest):
    def setUp(self):
        super().setUp()
        self.jobs = ["job%d" % number for number in range(JOBS)]
        self.listed = {job: 0 for job in self.jobs}

    def finish_jobs(self):
        self.bring_up()
        for job in self.jobs:
            self.assertEqual(self.platform.submit(0, job, ITEMS), 202)
        for job in self.jobs:
            self.platform.wait_results(0, job, ITEMS)
        self.platform.faults(self.platform.store, drop_history=True)

    def read_job(self, job):
        """A caller who reads on until the results are whole."""
        def whole():
            status, page = self.platform.results(0, job, self.listed[job])
            if status == 200:
                self.listed[job] += len(page["results"])
            return self.listed[job] >= ITEMS

        try:
            wait_for(whole, job, GIVE_UP_SECONDS)
        except TimeoutError:
            pass

    def test_all_callers_get_their_results(self):
        self.finish_jobs()
        self.platform.node_processes[0].kill()
        self.store_links[0].bound(LINK_BYTES_PER_SECOND)
        before = self.store_links[0].back.bytes
        self.platform.node_processes[0].start()
        self.platform.wait_ready()
        callers = [threading.Thread(target=self.read_job, args=(job,)) for job in self.jobs]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        read = self.store_links[0].back.bytes - before
        print("bytes read %d, listed %s" % (read, json.dumps(self.listed)))
        self.assertEqual(self.listed, {job: ITEMS for job in self.jobs})


if __name__ == "__main__":
    unittest.main(verbosity=2)
