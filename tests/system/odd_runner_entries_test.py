"""Tests that entries of other writers among those of the runners do no harm to nodes.

Guards against nodes that end, or stop to follow the list of runners, because one entry is nested
deeply, holds a number that is too large or an address that is none.
"""

import json
import tempfile
import unittest

from platform_fleet import Platform, stream_text
from fleet import wait_for

NODES = 2
TOPIC = "keyed.servers"
SOUND_ENTRY = {"service": "chat", "address": "127.0.0.1:1", "zone": "z1", "slots": 4,
               "state": "ready", "version": "1", "cold_remaining_ms": 0, "sequence": 1, "born": 1}


def entry_with(field, text):
    """Returns an entry with this JSON text in place of the value of a field."""
    other = {name: value for name, value in SOUND_ENTRY.items() if name != field}
    return (json.dumps(other)[:-1] + ', "%s": %s}' % (field, text)).encode()


def odd_values():
    numbers = ["1e400", "-1e400", "18446744073709551616", "-1", "9" * 400, "0.5", "null", "[]"]
    for field in ("slots", "sequence", "born", "cold_remaining_ms"):
        for number in numbers:
            yield entry_with(field, number)
    for address in ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:+80",
                    "127.0.0.1:", ":80", "", "a.example:80", "[::1", "127.0.0.1:-1"):
        yield entry_with("address", json.dumps(address))
    for depth in (20, 33, 500, 900):
        yield entry_with("more", "[" * depth + "]" * depth)
        yield b"[" * depth + b"]" * depth
        yield b'{"a":' * depth
    yield from (b"{", b"null", b"0", b"\xff\xfe\x00", b"{}" * 500, b'{"service":"\xff"}')


class OddRunnerEntriesTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name, nodes=NODES, runners=2)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)
        self.platform.register_runner("r0")
        self.platform.configure(1)
        self.platform.wait_ready()
        self.requests = 0

    def is_served(self, node):
        self.requests += 1
        status, _, body = self.platform.ask(node, "a%d" % self.requests)
        return status == 200 and body.decode() == stream_text("q")

    def check_nodes(self):
        for node, process in enumerate(self.platform.node_processes):
            self.assertIsNone(process.handle.poll(), process.name)
            wait_for(lambda n=node: self.is_served(n), "an answer of node %d" % node)

    def check_list_is_followed(self):
        """A runner that joins is used after the one that was there has left."""
        self.platform.register_runner("r1")
        self.platform.runner_process("r0").kill()
        self.platform.deregister_runner("r0")
        self.check_nodes()

    def write_odd_entries(self):
        for index, value in enumerate(odd_values()):
            self.platform.append_raw(TOPIC, "odd%d" % index, value)
        for key in ("", " ", "k" * 255, "a\nb"):
            self.platform.append_raw(TOPIC, key, json.dumps(SOUND_ENTRY).encode())

    def test_running_nodes_follow_the_list(self):
        self.write_odd_entries()
        self.check_nodes()
        self.check_list_is_followed()

    def test_starting_nodes_read_the_list(self):
        self.write_odd_entries()
        for process in self.platform.node_processes:
            process.kill()
            process.start()
        self.platform.wait_ready()
        self.check_nodes()
        self.check_list_is_followed()

    def test_known_runner_turns_odd_and_back(self):
        for value in odd_values():
            self.platform.append_raw(TOPIC, "r0", value)
        self.platform.register_runner("r0")
        self.check_nodes()
        self.check_list_is_followed()


if __name__ == "__main__":
    unittest.main()
