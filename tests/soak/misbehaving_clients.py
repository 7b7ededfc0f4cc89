"""Soak test of clients that ignore all limits, while processes end in series.

Guards against nodes that end, exceed their memory or break a promise to ordinary callers, because other
clients send heads, chunk extensions, trailers or bodies without end, or very many fields, to any of
their ports. The faults, the ordinary clients and the invariants are those of the soak of ending
processes; no node may exceed its memory.
"""

import json
import pathlib
import random
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from crowd import (  # noqa: E402
    CHUNKED_HEAD, MEMORY_MB, SMALL_FIELDS, EndlessClient, peak_megabytes, repeat, send_endlessly)

from ending_processes import EndingProcessesSoak  # noqa: E402
from soak import run_seeds  # noqa: E402

CLIENTS = 12
CLIENT_BYTES = 12 * 1024 * 1024
WHOLE_REQUESTS = 200
HEAD_BEGIN = b"POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"
# By name: what follows the head of a chunked request, and what is repeated then.
ENDLESS_BODIES = {
    "trailers": (b"1\r\nq\r\n0\r\n", b"a: b\r\n"),
    "trailer line": (b"0\r\na: ", b"bbbbbbbb"),
    "chunk extension": (b"1;a=", b"bbbbbbbb"),
    "chunk size": (b"", b"00000000"),
    "body": (b"", b"400\r\n" + b"b" * 1024 + b"\r\n"),
}


class MisbehavingClientsSoak(EndingProcessesSoak):
    """One soak run for one seed."""

    memory_mb = MEMORY_MB

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.crowd_random = random.Random("crowds %d" % self.seed)

    def ports_of(self, node):
        settings = json.loads(self.platform.settings[node].read_text())
        return {"callers": self.platform.nodes[node], "readiness": self.platform.ready[node],
                "nodes": "127.0.0.1:%d" % settings["internal_ports"][0]}

    def make_crowd(self, address, kind):
        """Returns a function that connects one client."""
        if kind == "unfinished heads":
            return lambda _: EndlessClient(address, HEAD_BEGIN + SMALL_FIELDS, b"", 0)
        if kind == "heads of many fields":
            return lambda _: EndlessClient(address, HEAD_BEGIN + SMALL_FIELDS + b"\r\nq", b"", 0)
        opening, piece = ENDLESS_BODIES[kind]
        target = self.crowd_random.choice(["/ask/1", "/drafts/x"])
        return lambda number: EndlessClient(
            address, (CHUNKED_HEAD % (target, number)).encode() + opening, repeat(piece), CLIENT_BYTES)

    def send_crowd(self, node, port, kind, connect):
        self.log("%s at the port for %s of node %d" % (kind, port, node))
        clients = []
        try:
            for number in range(CLIENTS if kind in ENDLESS_BODIES else WHOLE_REQUESTS):
                clients.append(connect(number))
            send_endlessly(clients)
        except OSError:
            pass  # The node is ending or full.
        finally:
            for client in clients:
                client.close()

    def start_crowd(self):
        node = self.crowd_random.randrange(self.node_count)
        ports = self.ports_of(node)
        port = self.crowd_random.choice(sorted(ports))
        kind = self.crowd_random.choice(
            sorted(ENDLESS_BODIES) + ["unfinished heads", "heads of many fields"])
        connect = self.make_crowd(ports[port], kind)
        crowd = threading.Thread(target=self.send_crowd, args=(node, port, kind, connect))
        crowd.start()
        return crowd

    def check_memory(self):
        for process in self.platform.node_processes:
            peak = peak_megabytes(process)
            if peak >= MEMORY_MB:
                self.checker.record_violation("%s: peak of %.0f MB" % (process.name, peak))

    def signal_node(self):
        """Lets crowds send beside each series of signals."""
        crowds = [self.start_crowd() for _ in range(2)]
        heal = super().signal_node()

        def heal_and_check():
            for crowd in crowds:
                crowd.join()
            heal()

        return heal_and_check

    def inject_faults(self):
        for _ in range(self.steps):
            crowds = [self.start_crowd() for _ in range(3)]
            for crowd in crowds:
                crowd.join()
            self.check_memory()
        super().inject_faults()
        self.check_memory()


if __name__ == "__main__":
    run_seeds(MisbehavingClientsSoak, "misbehaving_clients_seeds.txt", __doc__)
