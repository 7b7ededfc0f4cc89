"""Clients that ignore the limits of a node, and what a node's process holds meanwhile."""

import pathlib
import re
import select
import socket
import time

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
