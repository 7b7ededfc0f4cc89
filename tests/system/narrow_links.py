"""A platform whose nodes have links of their own to the store, which can be bounded, for tests."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from link_proxy import LinkLoop  # noqa: E402
from platform_fleet import LARGE_SIZES, Platform  # noqa: E402


class NarrowLinksTest(unittest.TestCase):
    """Requests and answers have their usual sizes. Holds no tests of its own."""

    NODES = 1
    RUNNERS = 4

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.loop = LinkLoop()
        self.store_links = []  # By node.
        self.platform = Platform(self.directory.name, self.NODES, self.RUNNERS, self.make_link,
                                 sizes=LARGE_SIZES)
        self.addCleanup(self.platform.stop)

    def make_link(self, kind, _name, address):
        if kind != "store":
            return address
        link = self.loop.open(address)
        self.store_links.append(link)
        return link.address

    def bring_up(self, extra_routes=(), extra_services=()):
        """Lists all runners and waits until the nodes serve."""
        for name in self.platform.runners:
            self.platform.list_runner(name)
        self.platform.configure(1, extra_routes, extra_services=extra_services)
        self.platform.wait_ready()

    def turn_away(self, turned_away):
        """Has the runners refuse all work, or no longer."""
        for address in self.platform.runners.values():
            self.platform.faults(address, not_run=turned_away)
