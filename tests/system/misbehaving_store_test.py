"""Tests that a store whose answers do not end takes none of a node's memory.

Guards against answers of the store that are received, parsed or collected without a limit. A stand-in
between the node and the store passes calls on, or answers them itself. Checks the process, its peak
memory and descriptors, and an ordinary request afterwards, when the store answers again; no time and
no share of served requests.
"""

import json
import pathlib
import socket
import sys
import threading
import unittest
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from crowd import PIECE_BYTES, NodeUnderCrowd  # noqa: E402
from fleet import wait_for  # noqa: E402

ANSWERS = 8
ANSWER_BYTES = 160 * 1024 * 1024
ENDLESS_PAGES = 1000
PAGE_VALUES = 1900 * 1000
RECORD_VALUE = "A" * 256 * 1024


class StoreStandIn:
    """Passes calls on to the store until `answer(connection, target)` is set, which then answers.

    `answer` returns false for a call that is to be passed on.
    """

    def __init__(self, store):
        self.store = store
        self.answer = None
        self.answers = 0
        self.server = socket.socket()
        self.server.bind(("127.0.0.1", 0))
        self.server.listen(100)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        host, port = self.store.rsplit(":", 1)
        try:
            with connection, socket.create_connection((host, int(port))) as store:
                threading.Thread(target=pass_on, args=(store, connection), daemon=True).start()
                received = connection.recv(PIECE_BYTES)
                while received:
                    if self.answer is not None and received[:4] in (b"GET ", b"POST"):
                        target = received.split(b" ", 2)[1].decode()
                        if self.answer(connection, target):
                            self.answers += 1
                            return
                    store.sendall(received)
                    received = connection.recv(PIECE_BYTES)
        except OSError:
            self.answers += self.answer is not None

    def close(self):
        self.server.close()


def pass_on(source, target):
    """Passes on what one connection receives to another one until either ends."""
    try:
        received = source.recv(PIECE_BYTES)
        while received:
            target.sendall(received)
            received = source.recv(PIECE_BYTES)
    except OSError:
        pass


class NodeWithStandIn(NodeUnderCrowd):
    """A node that reads and appends records through the stand-in."""

    def start_with_stand_in(self):
        def link(kind, _, address):
            if kind != "store":
                return address
            self.store = StoreStandIn(address)
            self.addCleanup(self.store.close)
            return self.store.address

        self.start(link=link)

    def check_answers(self, answer, answers=ANSWERS):
        """Lets the stand-in answer a number of calls, and checks the node afterwards."""
        self.start_with_stand_in()
        self.store.answer = answer
        reading = threading.Thread(target=self.keep_reading, daemon=True)
        reading.start()
        wait_for(lambda: self.store.answers >= answers or self.node.handle.poll() is not None,
                 "the node to read answers")
        self.store.answer = None
        reading.join()
        self.check_node()

    def keep_reading(self):
        """Makes the node append and read records. What a call returns does not matter."""
        number = 0
        while self.store.answer is not None and self.node.handle.poll() is None:
            number += 1
            try:
                self.platform.submit(0, "job%d" % number, 1)
                self.platform.results(0, "job%d" % number)
            except (OSError, ValueError):
                pass


class EndlessStoreAnswersTest(NodeWithStandIn):
    """Answers that do not end."""

    @staticmethod
    def send_endless(connection, head, piece):
        connection.sendall(head)
        for _ in range(ANSWER_BYTES // len(piece)):
            connection.sendall(piece)
        return True

    def test_bodies_with_a_length(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES
        self.check_answers(lambda connection, _: self.send_endless(connection, head,
                                                                   b"b" * PIECE_BYTES))

    def test_chunked_bodies(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        piece = b"%x\r\n" % PIECE_BYTES + b"b" * PIECE_BYTES + b"\r\n"
        self.check_answers(lambda connection, _: self.send_endless(connection, head, piece))


class NodeWithPages(NodeWithStandIn):
    """The stand-in answers the calls for the newest records of a job."""

    def check_pages(self, page, answers=ANSWERS):
        def answer(connection, target):
            if "/api/log-newest?" not in target:
                return False
            parameters = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
            text = page(parameters.get("after_rev", [""])[0])
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return True

        self.check_answers(answer, answers)


class EndlessPagesTest(NodeWithPages):
    """Pages of the newest records that each name a next one."""

    def test_pages_without_end(self):
        def page(after):
            record = {"tls_key": after + "0", "value": RECORD_VALUE, "offset": 0}
            return json.dumps({"end": 1, "more": True, "items": [record]}).encode()

        self.check_pages(page, ENDLESS_PAGES)


class ValuesOfPagesTest(NodeWithPages):
    """Pages within their limit whose values need many times their text."""

    memory_mb = 64

    def test_values_of_a_page(self):
        text = b'{"end":1,"more":false,"items":[' + b"0," * PAGE_VALUES + b"0]}"
        self.check_pages(lambda after: text)


if __name__ == "__main__":
    unittest.main(verbosity=2)
