"""Tests concurrent reads of the results of several jobs at a node that has just restarted.

Guards against read timeouts that starve all clients. A restarted node has no results in memory, and
once the store has dropped its history it reads those of a job with the newest records of their
partition: pages of up to 1 MB, 1.33 MB as text, with a read timeout of 1 s. A link of 30 Mbit/s
transfers one page in 0.36 s, and reads for clients are not subject to the limit of two concurrent
reads for jobs that the node runs. With 8 clients every read timed out and was retried: 223 MB were
read in 60 s and none of 800 results was listed, although all of them total 13 MB.
"""

import json
import threading
import unittest

from narrow_links import NarrowLinksTest
from fleet import wait_for

# 30 Mbit/s from the node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
# Two pages of results each.
JOBS = 8
ITEMS = 100
# Timeout in which the link could transfer all results 15 times.
COMPLETION_TIMEOUT_SECONDS = 60.0


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
        self.platform.set_faults(self.platform.store, drop_history=True)

    def read_job(self, job):
        """Reads the results of a job, as a client does, until they are complete."""
        def complete():
            status, page = self.platform.results(0, job, self.listed[job])
            if status == 200:
                self.listed[job] += len(page["results"])
            return self.listed[job] >= ITEMS

        try:
            wait_for(complete, job, COMPLETION_TIMEOUT_SECONDS)
        except TimeoutError:
            pass

    def test_all_clients_get_their_results(self):
        self.finish_jobs()
        self.platform.node_processes[0].kill()
        self.store_links[0].limit_rate(LINK_BYTES_PER_SECOND)
        before = self.store_links[0].back.bytes
        self.platform.node_processes[0].start()
        self.platform.wait_ready()
        clients = [threading.Thread(target=self.read_job, args=(job,)) for job in self.jobs]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        read = self.store_links[0].back.bytes - before
        print("bytes read %d, listed %s" % (read, json.dumps(self.listed)))
        self.assertEqual(self.listed, {job: ITEMS for job in self.jobs})


if __name__ == "__main__":
    unittest.main(verbosity=2)
