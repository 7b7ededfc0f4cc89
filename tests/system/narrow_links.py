"""Test fixture in which each node has its own, rate-limitable link to the store."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "soak"))
from link_proxy import LinkLoop  # noqa: E402
from platform_fleet import LARGE_SIZES, Platform  # noqa: E402


class NarrowLinksTest(unittest.TestCase):
    """Base class without tests of its own; requests and responses have realistic sizes."""

    NODES = 1
    RUNNERS = 4

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.loop = LinkLoop()
        self.store_links = []  # Indexed by node.
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
        """Registers all runners, configures the nodes and waits until they are ready."""
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1, extra_routes, extra_services=extra_services)
        self.platform.wait_ready()

    def set_runners_rejecting(self, rejecting):
        """Makes all runners reject every request, or accept requests again."""
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=rejecting)
