"""Tests that clients that ignore all limits end no node and take none of its memory.

Guards against bytes that are received without a limit: what stands between the parts of a chunked
body and behind it, bodies at the ports of operators and other nodes, and request heads and batch
jobs whose parsed form needs many times their bytes. Each test lets a crowd send to a node, and
checks that the process lives, that its peak memory and open descriptors stay under their bounds, and
that an ordinary request is answered afterwards. No time and no share of served requests is checked.
"""

import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from crowd import (  # noqa: E402
    CHUNKED_HEAD, CLIENTS, OPEN_FILE_LIMIT, SMALL_FIELDS, NodeUnderCrowd, send_endlessly)
from platform_fleet import HOST, LARGE_SIZES, stream_text  # noqa: E402
from fleet import call, wait_for  # noqa: E402

BODY_CLIENTS = 200
# Descriptors of `OPEN_FILE_LIMIT` that are kept for callers: 60 percent.
CALLER_DESCRIPTORS = 180
IDLE_CONNECTIONS = 400
UNFINISHED_HEADS = 1000
WHOLE_REQUESTS = 600
JOB_ITEMS = 200
JOBS_IN_TURN = 40
# With names of three digits these are 14 kB of each item's head, and 3.4 MB of the job's text.
JOB_HEADER_FIELDS = 2000
HEAD_PIECES = 200
HEAD_PIECE_PAUSE_SECONDS = 0.01


class EndlessBodiesTest(NodeUnderCrowd):
    """Chunked requests at the callers' port that do not end."""

    def test_trailers(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/ask/1", b"1\r\nq\r\n0\r\n", b"a: b\r\n")

    def test_one_trailer_line(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/ask/1", b"1\r\nq\r\n0\r\na: ", b"bbbbbbbb")

    def test_chunk_extension(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/ask/1", b"1;a=", b"bbbbbbbb")

    def test_extension_of_the_last_chunk(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/ask/1", b"1\r\nq\r\n0;a=", b"bbbbbbbb")

    def test_zeros_of_a_chunk_size(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/ask/1", b"", b"00000000")

    def test_trailers_of_a_batch_job(self):
        self.start()
        self.send_crowd(self.platform.nodes[0], "/drafts/x", b"1\r\nq\r\n0\r\n", b"a: b\r\n")


class RejectedBodiesTest(NodeUnderCrowd):
    """Bodies that are rejected while they are received release their memory at once."""

    memory_mb = 64

    def check_bodies(self, address):
        self.start()
        self.send_crowd(address(), "/ask/1", b"", b"400\r\n" + b"b" * 1024 + b"\r\n",
                        BODY_CLIENTS)

    def test_bodies_at_the_port_for_callers(self):
        self.check_bodies(lambda: self.platform.nodes[0])

    def test_bodies_at_the_port_for_other_nodes(self):
        self.check_bodies(lambda: self.peer_address)


class EndlessBodiesAtInternalPortsTest(NodeUnderCrowd):
    """The same at the ports for readiness and metrics, and for other nodes."""

    def test_trailers_at_the_readiness_port(self):
        self.start()
        self.send_crowd(self.platform.ready[0], "/api/ready", b"1\r\nq\r\n0\r\n", b"a: b\r\n")

    def test_bodies_at_the_readiness_port(self):
        self.start()
        self.send_crowd(self.platform.ready[0], "/api/ready", b"", b"400\r\n" + b"b" * 1024 + b"\r\n")

    def test_trailers_at_the_port_for_other_nodes(self):
        self.start()
        self.send_crowd(self.peer_address, "/ask/1", b"1\r\nq\r\n0\r\n", b"a: b\r\n")

    def test_bodies_at_the_port_for_other_nodes(self):
        self.start()
        self.send_crowd(self.peer_address, "/ask/1", b"", b"400\r\n" + b"b" * 1024 + b"\r\n")


class ConnectionsAtInternalPortsTest(NodeUnderCrowd):
    """Connections that are kept open at the internal ports leave the callers their descriptors."""

    def check_idle_crowd(self, address):
        self.start(low_open_file_limit=True)
        address = address()
        for _ in range(IDLE_CONNECTIONS):
            self.connect(address, b"GET /api/ready HT").send()
        # A new connection replaces one that has waited for a second; the platform asks again.
        wait_for(lambda: self.readiness() == 200, "the readiness port to answer")
        self.check_node(OPEN_FILE_LIMIT - CALLER_DESCRIPTORS)

    def test_connections_at_the_readiness_port(self):
        self.check_idle_crowd(lambda: self.platform.ready[0])

    def test_connections_at_the_port_for_other_nodes(self):
        self.check_idle_crowd(lambda: self.peer_address)


class EndlessHeadsTest(NodeUnderCrowd):
    """Request heads that do not end."""

    def test_heads_without_end_in_pieces(self):
        """Each piece is below the limit and ends within a field."""
        self.start()
        clients = [self.connect(self.platform.nodes[0], self.head(number) + b"a")
                   for number in range(CLIENTS)]
        send_endlessly(clients)
        for _ in range(HEAD_PIECES):
            for client in clients:
                client.pending = memoryview(b":b\r\na" * 1600)
                client.send()
            time.sleep(HEAD_PIECE_PAUSE_SECONDS)
        self.check_node()


class NodeUnderJobs(NodeUnderCrowd):
    def send_jobs(self, text):
        """Lets a crowd submit this text as a batch job each; returns the clients."""
        head = ("POST /drafts/x HTTP/1.1\r\nHost: %s\r\nStoathold-Attempt-Id: job%d\r\n"
                "Stoathold-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n")
        clients = [self.connect(self.platform.nodes[0],
                                (head % (HOST, number, len(text))).encode() + text)
                   for number in range(CLIENTS)]
        send_endlessly(clients)
        return clients


class JobTextTest(NodeUnderJobs):
    """Submissions of batch jobs within the body limit whose values need many times their text."""

    memory_mb = 64

    def check_jobs(self, text):
        self.start()
        self.send_jobs(text)
        self.check_node()

    def test_numbers(self):
        self.check_jobs(b'{"items":[' + b"0," * 2000000 + b"0]}")

    def test_objects(self):
        self.check_jobs(b'{"items":[' + b'{"a":0},' * 500000 + b"0]}")

    def test_keys(self):
        keys = b",".join(b'"%x":0' % number for number in range(380000))
        self.check_jobs(b'{"items":[{' + keys + b"}]}")

    def test_job_is_accepted(self):
        self.start()
        self.assertEqual(self.platform.submit(0, "job", 20), 202)
        self.check_node()


class JobHeadersTest(NodeUnderJobs):
    """Batch jobs inside all limits whose items have very many small header fields."""

    sizes = LARGE_SIZES
    runner_options = {name: ["--gap-ms", 500] for name in ("r0", "r1")}

    @staticmethod
    def job_text():
        fields = ",".join('"%x":""' % number for number in range(JOB_HEADER_FIELDS))
        items = ",".join('{"id":"i%d","path":"/drafts/1","body":"","headers":{%s}}' %
                         (number, fields) for number in range(JOB_ITEMS))
        return ('{"items":[%s]}' % items).encode()

    def submit(self, job):
        return call(self.platform.nodes[0], "POST", "/drafts/x", self.job_text(), {
            "Host": HOST, "Stoathold-Attempt-Id": job, "Stoathold-Deadline-Ms": "15000"})[0]

    def test_one_job_is_accepted(self):
        self.start()
        self.assertEqual(self.submit("single"), 202)
        self.check_node()

    def test_jobs_one_after_the_other(self):
        """Requests of items wait for slow runners."""
        self.start()
        for number in range(JOBS_IN_TURN):
            self.submit("job%d" % number)
        self.check_node()

    def test_crowd_of_jobs(self):
        self.start()
        for client in self.send_jobs(self.job_text()):
            client.read_answer()
        self.check_node()


class ManyFieldsTest(NodeUnderCrowd):
    """Request heads within the byte limit that consist of very many small fields."""

    def test_heads_that_do_not_end(self):
        self.start()
        clients = [self.connect(self.platform.nodes[0], self.head(number) + SMALL_FIELDS)
                   for number in range(UNFINISHED_HEADS)]
        send_endlessly(clients)
        self.check_node()

    def test_whole_requests(self):
        self.start()
        clients = [self.connect(self.platform.nodes[0],
                                self.head(number) + SMALL_FIELDS + b"\r\nq")
                   for number in range(WHOLE_REQUESTS)]
        send_endlessly(clients)
        self.check_node()

    def test_whole_requests_with_trailers(self):
        self.start()
        opening = b"1\r\nq\r\n0\r\n" + SMALL_FIELDS + b"\r\n"
        clients = [self.connect(self.platform.nodes[0],
                                (CHUNKED_HEAD % ("/ask/1", number)).encode() + opening)
                   for number in range(WHOLE_REQUESTS)]
        send_endlessly(clients)
        self.check_node()

    def test_one_request_is_served(self):
        self.start()
        fields = {"x%d" % number: "v" for number in range(1500)}
        status, _, body = call(self.platform.nodes[0], "POST", "/ask/1", b"q", {
            **fields, "Host": HOST, "Stoathold-Attempt-Id": "single",
            "Stoathold-Deadline-Ms": "15000"})
        self.assertEqual((status, body.decode()), (200, stream_text("q")))
        self.check_node()


if __name__ == "__main__":
    unittest.main(verbosity=2)
