"""Requests that end each runner which begins to run them, with real processes.

A caller sent one request again and again, each time under another id and to another node. Each node
took each copy for a new request and gave it to two runners, and each runner ended as soon as it had
begun to run it: on a day with twelve runners forty of them ended, and the questions that ran beside
it broke off. The lines of the failed attempts showed it: at 32 of 39 ends exactly one request had the
head of its answer and no event, as in

    attempt_failed runner=i-c6e11dc23c result=broken step=ok last_event=0

while all others that broke there either had events (last_event above 0) or no head (step=broken).
"""

import http.client
import tempfile
import unittest

from platform_fleet import Platform, stream_text
from fleet import wait_for

DEADLY = "deadly"
# Ends under one request after which nobody sends it any more, and sends that may still be under way.
ENDS_ALLOWED = 3
SENDS_ALLOWED_LATER = 3
COPIES = 12


class RunnerEndingRequestsTest(unittest.TestCase):
    runners = 4
    same_id = False  # Whether an ended runner comes back under the id that it had.

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name, runners=self.runners, crash_body=DEADLY)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        self.asked = 0
        self.ended = 0
        for name in self.platform.runners:
            self.platform.list_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()

    def ask(self, node, body):
        """Asks under a new id; returns (status, headers, body), status None if it was cut off."""
        self.asked += 1
        try:
            return self.platform.ask(node, "a%d" % self.asked, body.encode())
        except (OSError, http.client.HTTPException):
            return None, {}, b""

    def send_copies(self, count, body=DEADLY):
        """Sends a request to the nodes in turn; returns the last answer. Ended runners come back."""
        answer = None
        for copy in range(count):
            answer = self.ask(copy % 3, body)
            self.ended += self.platform.replace_ended_runners(self.same_id)
        return answer

    def wait_served(self, node):
        """The request that the others are: it is answered whole, by whichever runner is back."""
        wait_for(lambda: self.ask(node, "q")[2].decode() == stream_text("q"), "an answer")

    def test_it_ends_few_runners_and_is_then_rejected_everywhere(self):
        status, headers, _ = self.send_copies(COPIES)
        self.assertLessEqual(self.ended, ENDS_ALLOWED + SENDS_ALLOWED_LATER)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        for node in range(3):
            self.assertEqual(self.ask(node, DEADLY)[0], 503)
        self.assertEqual(self.platform.replace_ended_runners(), 0)

    def test_other_requests_go_on(self):
        self.send_copies(COPIES)
        for node in range(3):
            self.wait_served(node)

    def test_it_stays_rejected_when_all_nodes_have_begun_anew(self):
        self.send_copies(COPIES)
        for process in self.platform.node_processes:
            process.kill()
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()
        self.ended = 0
        status, _, _ = self.send_copies(COPIES)
        self.assertEqual(status, 503)
        self.assertLessEqual(self.ended, SENDS_ALLOWED_LATER)


class ARunnerThatStartsAgainUnderItsIdTest(RunnerEndingRequestsTest):
    """All of it once more with one runner, whose starts only `born` tells apart.

    While ends were known by the runner's id, each end of the runner took the place of the one before,
    and the next start, when it was heard, refuted it: every copy ended the runner once more.
    """

    runners = 1
    same_id = True


if __name__ == "__main__":
    unittest.main()
