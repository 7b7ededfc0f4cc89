"""Clients that ignore the limits of a node, and a test fixture that checks what the node holds."""

import json
import pathlib
import re
import select
import socket
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from memory_limit_test import OPEN_FILE_LIMIT as DEFAULT_OPEN_FILE_LIMIT  # noqa: E402
from memory_limit_test import raise_open_file_limit  # noqa: E402
from platform_fleet import HOST, SMALL_SIZES, Platform, stream_text  # noqa: E402
from fleet import call  # noqa: E402

# The memory of the smallest machines, and the bound of a node's peak memory.
MEMORY_MB = 120
CLIENTS = 24
CLIENT_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Descriptor limit of a node that is to run short of them.
OPEN_FILE_LIMIT = 300
# Fields of a head within the limit of 16,384 bytes that need many times their bytes once parsed.
SMALL_FIELDS = b"a:b\r\n" * 2400
# Longest time for which a crowd sends. It bounds the test; nothing is checked against it.
MAX_SECONDS = 20.0


class EndlessClient:
    """Sends an opening and then one piece again and again, until `max_bytes` or the node closes."""

    def __init__(self, address, opening, piece, max_bytes):
        host, port = address.rsplit(":", 1)
        self.piece = piece
        self.pending = memoryview(opening)
        self.bytes_left = max_bytes
        self.socket = socket.create_connection((host, int(port)))
        self.socket.setblocking(False)

    def send(self):
        """Sends what the socket takes now. @return whether there is more to send."""
        try:
            while self.pending or self.bytes_left > 0:
                if not self.pending:
                    self.pending = memoryview(self.piece)
                sent = self.socket.send(self.pending)
                self.pending = self.pending[sent:]
                self.bytes_left -= sent
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def read_answer(self):
        """Waits until the node has answered or closed, for `MAX_SECONDS` at most."""
        self.socket.settimeout(MAX_SECONDS)
        try:
            self.socket.recv(PIECE_BYTES)
        except OSError:
            pass

    def close(self):
        self.socket.close()


def send_endlessly(clients):
    """Lets all clients send at once until each has ended or `MAX_SECONDS` have passed."""
    end = time.monotonic() + MAX_SECONDS
    active = {client.socket.fileno(): client for client in clients}
    writable = select.poll()
    for descriptor in active:
        writable.register(descriptor, select.POLLOUT)
    while active and time.monotonic() < end:
        for descriptor, _ in writable.poll(100):
            if not active[descriptor].send():
                writable.unregister(descriptor)
                del active[descriptor]


def peak_megabytes(process):
    """Returns a process' peak resident memory; fails if the process has ended."""
    status = pathlib.Path("/proc/%d/status" % process.handle.pid).read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def open_descriptors(process):
    """Returns the number of a process' open descriptors; fails if the process has ended."""
    return len(list(pathlib.Path("/proc/%d/fd" % process.handle.pid).iterdir()))


# Head of a chunked request to a path by a client with a number.
CHUNKED_HEAD = ("POST %s HTTP/1.1\r\nHost: " + HOST + "\r\nStoathold-Attempt-Id: crowd%d\r\n"
                "Stoathold-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n")


def repeat(text):
    return text * (PIECE_BYTES // len(text))


class NodeUnderCrowd(unittest.TestCase):
    """A node with two runners; its memory is the bound of its peak."""

    memory_mb = MEMORY_MB
    sizes = SMALL_SIZES
    runner_options = {}

    def start(self, low_open_file_limit=False, link=None):
        raise_open_file_limit()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.platform = Platform(directory.name, 1, 2, link, memory_mb=self.memory_mb,
                                 sizes=self.sizes, runner_options=self.runner_options)
        self.addCleanup(self.platform.stop)
        self.node = self.platform.node_processes[0]
        self.asked = 0
        if low_open_file_limit:
            self.node.kill()
            self.node.arguments = (["prlimit", "--nofile=%d" % OPEN_FILE_LIMIT] +
                                   self.node.arguments)
            self.node.start()
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()
        settings = json.loads(self.platform.settings[0].read_text())
        self.peer_address = "127.0.0.1:%d" % settings["internal_ports"][0]

    def head(self, number):
        return ("POST /ask/1 HTTP/1.1\r\nHost: %s\r\nStoathold-Attempt-Id: many%d\r\n"
                "Stoathold-Deadline-Ms: 15000\r\nContent-Length: 1\r\n" % (HOST, number)).encode()

    def connect(self, address, opening, piece=b"", max_bytes=0):
        client = EndlessClient(address, opening, piece, max_bytes)
        self.addCleanup(client.close)
        return client

    def send_crowd(self, address, target, opening, piece, count=CLIENTS):
        """Lets a crowd send a chunked body with this opening, and then the piece without end."""
        clients = [self.connect(address, (CHUNKED_HEAD % (target, number)).encode() + opening,
                                repeat(piece), CLIENT_BYTES) for number in range(count)]
        send_endlessly(clients)
        self.check_node()
        for client in clients:
            client.close()
        self.check_node()

    def readiness(self):
        return call(self.platform.ready[0], "GET", "/api/ready")[0]

    def check_node(self, max_descriptors=DEFAULT_OPEN_FILE_LIMIT):
        """Checks the process, its bounds, readiness and an ordinary request.

        The request comes first: it is answered after the connections that were made before it.
        """
        self.assertIsNone(self.node.handle.poll(), "the node has ended")
        self.asked += 1
        status, _, body = self.platform.ask(0, "ordinary%d" % self.asked)
        peak = peak_megabytes(self.node)
        descriptors = open_descriptors(self.node)
        print("peak of %.0f MB, %d descriptors" % (peak, descriptors), file=sys.stderr)
        self.assertLess(peak, self.memory_mb)
        self.assertLess(descriptors, max_descriptors)
        self.assertEqual(self.readiness(), 200)
        self.assertEqual((status, body.decode()), (200, stream_text("q")))
