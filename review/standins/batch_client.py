"""Clients of batch jobs: they submit jobs, wait for the results, and read listings slowly."""

import base64
import json
import random
import socket
import time

from deployment import HOST, CouldNotRun, call

# `Stoathold-Max-Wait-Ms` of a read, and the time that clients wait beyond it.
MAX_WAIT_MS = 1000
PATIENCE_SECONDS = 2.5
# Clients read about two times a second.
READ_PAUSE_SECONDS = 0.5


def submit(node, job, items, body_bytes, prompt=None):
    """Submits a batch job; returns the status.

    `prompt` is the list of the parts that the items' prompts share, as ID:TOKENS."""
    listed = [{"id": "%s-%03d" % (job, index), "path": "/pule252/3/91c4",
               "headers": {"Stoathold-Model": "m", "Stoathold-Token-Usage": "540,400",
                           "Stoathold-Prompt-Prefix":
                               ",".join((prompt or []) + ["%08x:250" % index])},
               "body": base64.b64encode(random.Random(index).randbytes(body_bytes)).decode(),
               "token_count": 940} for index in range(items)]
    return call(node.front, "POST", "/pule252/7c41e0", json.dumps({"items": listed}).encode(),
                {"Host": HOST, "Stoathold-Attempt-Id": job,
                 "Content-Type": "application/json"})[0]


def read(node, job, position):
    status, _, body = call(node.front, "GET", "/api/lots/%s?after_rev=%d" % (job, position), None,
                           {"Host": HOST, "Stoathold-Max-Wait-Ms": str(MAX_WAIT_MS)})
    return status, json.loads(body) if status == 200 else None


def wait_for_results(node, job, seconds):
    """Reads a job to its end; returns its results."""
    found = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, page = read(node, job, len(found))
        if status == 200:
            found += page["results"]
            if len(found) == page["total"]:
                return found
        time.sleep(0.2)
    raise CouldNotRun("job %s has %d results" % (job, len(found)))


class ListingReader:
    """Reads one job's listing from the start, once, on a new connection. A reader that is cut off
    reads again after a pause."""

    def __init__(self, node, job, begins_at, bytes_per_read, read_interval,
                 receive_buffer=8192):
        self.node = node
        self.job = job
        self.bytes_per_read = bytes_per_read
        self.read_interval = read_interval
        self.receive_buffer = receive_buffer
        self.socket = None
        self.next_step = begins_at
        self.done = False
        self.given_up = 0
        self.cut = 0
        self.cut_at = None

    def open(self, now):
        host, port = self.node.front.rsplit(":", 1)
        self.data = bytearray()
        self.total = None
        self.opened = now
        self.attempt = "%016x" % random.getrandbits(64)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        try:
            self.socket.connect((host, int(port)))
            self.socket.sendall(("GET /api/lots/%s?after_rev=0 HTTP/1.1\r\nHost: %s\r\n"
                                 "Stoathold-Attempt-Id: %s\r\nStoathold-Max-Wait-Ms: %d\r\n"
                                 "Connection: close\r\n\r\n"
                                 % (self.job, HOST, self.attempt, MAX_WAIT_MS)).encode())
            self.socket.setblocking(False)
            self.next_step = now + self.read_interval
        except OSError:
            self.close()
            self.cut += 1

    def close(self):
        if self.socket is not None:
            self.socket.close()
        self.socket = None
        self.next_step = time.monotonic() + READ_PAUSE_SECONDS

    def step(self, now):
        if self.done or now < self.next_step:
            return
        if self.socket is None:
            self.open(now)
            return
        self.next_step = now + self.read_interval
        try:
            part = self.socket.recv(self.bytes_per_read)
        except BlockingIOError:
            part = None
        except OSError:
            part = b""
        self.data += part or b""
        if self.is_whole():
            self.done = True
            self.close()
        elif part == b"":
            self.cut += 1
            self.cut_at = now
            self.close()
        elif not self.data and now - self.opened > PATIENCE_SECONDS:
            self.given_up += 1
            self.close()

    def is_whole(self):
        if self.total is None:
            head, separator, _ = bytes(self.data[:4096]).partition(b"\r\n\r\n")
            if not separator:
                return False
            length = [int(line.split(b":")[1]) for line in head.lower().split(b"\r\n")
                      if line.startswith(b"content-length")]
            self.total = len(head) + 4 + (length[0] if length else 0)
        return len(self.data) >= self.total


def read_listings(readers, until):
    """Lets the readers read until a time, or until all have read their listing."""
    while time.monotonic() < until and not all(reader.done for reader in readers):
        now = time.monotonic()
        for reader in readers:
            reader.step(now)
        time.sleep(0.002)
