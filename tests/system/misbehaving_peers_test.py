"""Tests that connections to a node's port for other nodes take memory only for what they sent.

Guards against a message whose memory is taken as soon as its length was received. Checks the process,
its peak memory and an ordinary request, as for the other clients that ignore all limits.
"""

import pathlib
import socket
import struct
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from crowd import CLIENTS, MEMORY_MB, peak_megabytes  # noqa: E402
from fleet import Fleet, call, chat_body  # noqa: E402

# The largest message between nodes.
MESSAGE_BYTES = 64 * 1024 * 1024


class PeerMessagesTest(unittest.TestCase):
    def test_lengths_of_messages_that_do_not_come(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = Fleet(directory.name, nodes=1, engines=1, zones=1)
        self.addCleanup(fleet.stop)
        fleet.start()
        fleet.apply_service()
        host, port = fleet.node_peer[0].rsplit(":", 1)
        for _ in range(CLIENTS):
            client = socket.create_connection((host, int(port)))
            self.addCleanup(client.close)
            client.sendall(struct.pack("<I", MESSAGE_BYTES) + b"m")
        node = fleet.processes["node-0"]
        status, _, _ = call(fleet.node_http[0], "POST", "/v1/chat/completions", chat_body("ordinary"))
        self.assertEqual(status, 200)
        self.assertIsNone(node.handle.poll(), "the node has ended")
        peak = peak_megabytes(node)
        print("peak of %.0f MB" % peak, file=sys.stderr)
        self.assertLess(peak, MEMORY_MB)


if __name__ == "__main__":
    unittest.main(verbosity=2)
