"""Tests that runners whose answers do not end or break off neither end a node nor look complete.

Guards against bytes of an answer that are received without a limit, behind its body or between two
chunks, and against an answer that is passed on as complete although its runner reset the connection
while the request was still being sent. Bounds are the stated memory of the node; no time and no
share of served requests is checked.
"""

import base64
import http.client
import pathlib
import re
import socket
import struct
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from crowd import NodeUnderCrowd, PIECE_BYTES, repeat  # noqa: E402
from platform_fleet import HOST, LARGE_SIZES  # noqa: E402
from fleet import call, wait_for  # noqa: E402

REQUESTS = 4
ANSWER_BYTES = 128 * 1024 * 1024
HEAD_PIECES = 600
HEAD_PIECE_PAUSE_SECONDS = 0.01
LONG_EVENT_BYTES = 3 * 1024 * 1024
LONG_EVENT_STREAMS = 14
LONG_EVENT_PAUSE_SECONDS = 0.2
SHORT_EVENTS = 10000
SHORT_EVENT_PAUSE_SECONDS = 0.1
UPLOAD_BYTES = 3 * 1024 * 1024
UPLOADS = 12
# One item each, near the limit of an append to the store, 2 MB.
JOBS = 4
ITEM_BYTES = 1900 * 1024
ITEM_ATTEMPTS = 8
RECEIVE_BUFFER_BYTES = 4096
RESET_PAUSE_SECONDS = 0.05
HEAD_END = b"\r\n\r\n"


def read_head(connection):
    """Reads a request up to the end of its head; returns the text."""
    text = b""
    while HEAD_END not in text:
        received = connection.recv(1024)
        if not received:
            return ""
        text += received
    return text.split(HEAD_END)[0].decode()


class FaultyRunner:
    """A runner that answers probes and lets `answer(connection, request id)` answer the rest.

    The request id is the text of its field, to be returned in the answer.
    """

    def __init__(self, runner_id, answer, receive_buffer=None):
        self.runner_id = runner_id
        self.answer = answer
        self.server = socket.socket()
        if receive_buffer is not None:
            self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(100)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.requests = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                head = read_head(connection)
                while head.startswith("GET /health "):
                    connection.sendall(("HTTP/1.1 200 OK\r\nStoathold-Instance: %s\r\n"
                                        "Content-Length: 0\r\n\r\n" % self.runner_id).encode())
                    head = read_head(connection)
                if head:
                    self.requests += 1
                    found = re.search(r"Stoathold-Attempt-Id: (\S+)", head, re.IGNORECASE)
                    self.answer(connection, found.group(1))
        except OSError:
            pass

    def close(self):
        self.server.close()


def answer_head(request_id, more):
    return ("HTTP/1.1 200 OK\r\nStoathold-Attempt-Id: %s\r\nStoathold-Response-Seal: s\r\n%s\r\n" %
            (request_id, more)).encode()


class FaultyRunnerTest(NodeUnderCrowd):
    def start_with(self, answer, receive_buffer=None):
        """Starts the node with a faulty runner of a service of its own."""
        self.start()
        runner = FaultyRunner("faulty", answer, receive_buffer)
        self.addCleanup(runner.close)
        self.runner = runner
        self.platform.append("keyed.servers", "faulty", {
            "service": "faulty", "address": runner.address, "zone": "z1", "slots": 16,
            "state": "ready", "version": "1", "cold_remaining_ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)})
        routes = [{"name": kind, "host": HOST, "path_prefix": "/%s/" % kind, "kind": kind,
                   "timeout_ms": 15000, "target_latency_ms": 5000, "service": "faulty",
                   "max_attempts": 1, "gap_target_ms": 5000}
                  for kind in ("safe", "unsafe", "streaming")]
        routes.append({"name": "batch", "host": HOST, "path_prefix": "/batch/", "kind": "batch",
                       "timeout_ms": 20000, "target_latency_ms": 5000, "service": "faulty",
                       "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                       "max_queued_tokens": 100000})
        self.platform.configure(2, routes, extra_services=["faulty"])

    def ask_faulty(self, kind, number, body):
        """Sends one request; returns (status, whether the body is complete, body)."""
        host, port = self.platform.nodes[0].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        try:
            connection.request("POST", "/%s/1" % kind, body, {
                "Host": HOST, "Stoathold-Attempt-Id": "%s%d" % (kind, number),
                "Stoathold-Deadline-Ms": "15000"})
            response = connection.getresponse()
            return response.status, True, response.read()
        except http.client.IncompleteRead as broken:
            return response.status, False, broken.partial
        except (OSError, http.client.HTTPException):
            return 0, False, b""
        finally:
            connection.close()

    def wait_for_service(self):
        """Waits until the node knows the runner, by requests that it answers or breaks off."""
        for number in range(200):
            self.ask_faulty("safe", 1000 + number, b"")
            if self.runner.requests > 0:
                return
            time.sleep(0.05)
        self.fail("no request reached the runner")


class EndlessAnswersTest(FaultyRunnerTest):
    """Answers of a runner that send bytes without end that are no part of a body."""

    def check_endless(self, opening, piece):
        limit = threading.Event()

        def answer(connection, request_id):
            connection.sendall(answer_head(request_id, "Transfer-Encoding: chunked\r\n") + opening)
            content, sent = repeat(piece), 0
            while sent < ANSWER_BYTES and not limit.is_set():
                connection.sendall(content)
                sent += len(content)

        self.start_with(answer)
        self.addCleanup(limit.set)
        self.wait_for_service()
        asks = [threading.Thread(target=self.ask_faulty, args=(kind, number, b"q"))
                for number in range(REQUESTS // 2) for kind in ("safe", "streaming")]
        for ask in asks:
            ask.start()
        for ask in asks:
            ask.join()
        self.check_node()

    def test_trailers(self):
        self.check_endless(b"1\r\nq\r\n0\r\n", b"a: b\r\n")

    def test_chunk_extension(self):
        self.check_endless(b"1\r\nq\r\n1;a=", b"bbbbbbbb")

    def test_interim_responses_with_endless_fields(self):
        self.check_endless_heads(b"HTTP/1.1 102 Processing\r\n", repeat(b"a: b\r\n"))

    def test_head_fields(self):
        self.check_endless_heads(b"HTTP/1.1 200 OK\r\n", repeat(b"a: b\r\n"))

    def test_head_fields_in_pieces(self):
        """Each piece is below the limit and ends within a field."""
        self.check_endless_heads(b"HTTP/1.1 200 OK\r\na", b":b\r\na" * 1600,
                                 HEAD_PIECES, HEAD_PIECE_PAUSE_SECONDS)

    def check_endless_heads(self, opening, content, count=ANSWER_BYTES // PIECE_BYTES, pause=0):
        def answer(connection, _):
            connection.sendall(opening)
            for _ in range(count):
                connection.sendall(content)
                time.sleep(pause)

        self.start_with(answer)
        self.wait_for_service()
        asks = [threading.Thread(target=self.ask_faulty, args=("safe", number, b"q"))
                for number in range(REQUESTS)]
        for ask in asks:
            ask.start()
        for ask in asks:
            ask.join()
        self.check_node()


class LongEventsTest(FaultyRunnerTest):
    """A long event must not leave its memory with the stream when only short ones follow."""

    memory_mb = 64

    def test_short_events_behind_a_long_one(self):
        ended = threading.Event()
        self.addCleanup(ended.set)

        def answer(connection, request_id):
            connection.sendall(answer_head(request_id, "Content-Type: text/event-stream\r\n"))
            connection.sendall(b"id: 1\ndata: " + b"e" * LONG_EVENT_BYTES + b"\n\n")
            for number in range(2, SHORT_EVENTS):
                connection.sendall(b"id: %d\ndata: e\n\n" % number)
                if ended.wait(SHORT_EVENT_PAUSE_SECONDS):
                    return

        self.start_with(answer)
        self.wait_for_service()
        asks = []
        # One after the other, so that no two long events are received at once.
        for number in range(LONG_EVENT_STREAMS):
            asks.append(threading.Thread(target=self.ask_faulty, args=("streaming", number, b"q")))
            asks[-1].start()
            wait_for(lambda: self.runner.requests > number + 1, "the stream to reach the runner")
            time.sleep(LONG_EVENT_PAUSE_SECONDS)
        self.check_node()
        ended.set()
        for ask in asks:
            ask.join()


class MalformedAnswersTest(FaultyRunnerTest):
    """Answers of a runner that are none in the protocol."""

    def check_malformed(self, make_answer):
        self.start_with(lambda connection, request_id: connection.sendall(make_answer(request_id)))
        self.wait_for_service()
        outcomes = [self.ask_faulty(kind, number, b"q")
                    for number in range(2) for kind in ("safe", "unsafe", "streaming")]
        successes = [outcome for outcome in outcomes if outcome[0] // 100 == 2]
        self.assertEqual(successes, [])
        self.check_node()

    def test_status_000_with_a_body_that_looks_like_an_answer(self):
        self.check_malformed(lambda request_id: b"HTTP/1.1 000 Unknown\r\n\r\n" + answer_head(
            request_id, "Content-Length: 3\r\n") + b"bad")

    def test_field_whose_name_begins_with_a_blank(self):
        self.check_malformed(lambda request_id: answer_head(
            request_id, "X-A: b\r\n Content-Length: 3\r\n") + b"bad body")

    def test_field_whose_name_holds_a_control_byte(self):
        self.check_malformed(lambda request_id: answer_head(
            request_id, "X\x01A: b\r\nContent-Length: 3\r\n") + b"bad")


class EarlyResetTest(FaultyRunnerTest):
    """A runner that resets the connection while a long request is still being sent to it."""

    sizes = LARGE_SIZES

    def start_with_early_reset(self, body_part, content_type):
        def answer(connection, request_id):
            connection.sendall(answer_head(request_id, content_type) + body_part)
            time.sleep(RESET_PAUSE_SECONDS)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        self.start_with(answer, RECEIVE_BUFFER_BYTES)
        self.wait_for_service()

    def check_early_reset(self, kind, body_part, content_type=""):
        self.start_with_early_reset(body_part, content_type)
        outcomes = [self.ask_faulty(kind, number, b"u" * UPLOAD_BYTES)
                    for number in range(UPLOADS)]
        complete = [outcome for outcome in outcomes if outcome[0] // 100 == 2 and outcome[1]]
        self.assertEqual(complete, [])
        self.check_node()

    def check_early_reset_of_items(self, body_part, content_type):
        self.start_with_early_reset(body_part, content_type)
        before = self.runner.requests
        body = base64.b64encode(b"u" * ITEM_BYTES).decode()
        jobs = ["job%d" % number for number in range(JOBS)]
        for job in jobs:
            items = [{"id": "item-of-" + job, "path": "/batch/1", "body": body}]
            status, _, _ = call(self.platform.nodes[0], "POST", "/batch/x", {"items": items}, {
                "Host": HOST, "Stoathold-Attempt-Id": job, "Stoathold-Deadline-Ms": "15000"})
            self.assertEqual(status, 202)
        wait_for(lambda: self.runner.requests >= before + ITEM_ATTEMPTS, "the items to be sent")
        results = [result for job in jobs for result in self.platform.results(0, job)[1]["results"]]
        completed = [result for result in results if result["state"] == "completed"]
        self.assertEqual(completed, [])
        self.check_node()

    def test_safe_request(self):
        self.check_early_reset("safe", b"part of a body")

    def test_unsafe_request(self):
        self.check_early_reset("unsafe", b"part of a body")

    def test_stream(self):
        self.check_early_reset("streaming", b"id: 1\ndata: a\n\n", "Content-Type: text/event-stream\r\n")

    def test_batch_items(self):
        self.check_early_reset_of_items(b"id: 1\ndata: a\n\n", "Content-Type: text/event-stream\r\n")

    def test_complete_answer_before_the_request_is_read(self):
        """A runner may answer before it reads the body, keep the connection and read on later."""
        def answer(connection, request_id):
            connection.sendall(answer_head(request_id, "") + b"whole body")
            connection.shutdown(socket.SHUT_WR)
            time.sleep(RESET_PAUSE_SECONDS)
            while connection.recv(65536):
                pass

        self.start_with(answer, RECEIVE_BUFFER_BYTES)
        self.wait_for_service()
        self.assertEqual(self.ask_faulty("safe", 0, b"u" * UPLOAD_BYTES),
                         (200, True, b"whole body"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
