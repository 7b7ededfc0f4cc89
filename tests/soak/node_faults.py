"""Faults of nodes that a soak test injects, and which nodes they leave in touch."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import call, wait_for  # noqa: E402

CONTACT_SECONDS = 3.0  # From a fault on, for which its node does not count as in touch.


class NodeFaults:
    """Kills, stops, freezes and reloads nodes. Each fault returns when it has healed."""

    def __init__(self, platform):
        self.platform = platform
        self.lock = threading.Lock()
        self.violations = []
        self.disruptions = []  # (node or None for all, begin, end), in wall clock time.

    def add_violation(self, text):
        with self.lock:
            self.violations.append(text)

    def disrupt(self, node, begin):
        with self.lock:
            self.disruptions.append((node, begin, time.time()))

    def start_again(self, node):
        self.platform.node_processes[node].start()
        self.platform.wait_ready([node])

    def kill_node(self, node):
        self.platform.node_processes[node].kill()
        self.start_again(node)

    def stop_node(self, node):
        process = self.platform.node_processes[node]
        wait_for(lambda: call(self.platform.ready[node], "GET", "/api/ready")[0] > 0, process.name)
        code = process.stop(60.0)
        if code != 0:
            self.add_violation("node %d: stopped with code %s" % (node, code))
        self.start_again(node)

    def freeze_node(self, node):
        self.platform.node_processes[node].suspend()
        time.sleep(0.7)
        self.platform.node_processes[node].resume()

    def reload_node(self, node):
        wait_for(lambda: call(self.platform.ready[node], "GET", "/api/ready")[0] > 0, "node")
        self.platform.node_processes[node].handle.send_signal(signal.SIGHUP)

    def fault_nodes(self, plan, counts):
        """Faults as many nodes at once as one of `counts`, each in its own way."""
        nodes = plan.sample(range(len(self.platform.nodes)), plan.choice(counts))
        threads = []
        for node in nodes:
            fault = plan.choice([self.kill_node, self.stop_node, self.freeze_node, self.reload_node])
            threads.append(threading.Thread(target=self.fault_node, args=(fault, node)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def fault_node(self, fault, node):
        begin = time.time()
        try:
            fault(node)
        finally:
            self.disrupt(node, begin)

    def in_touch(self, node, moment):
        return not any(disrupted in (None, node) and begin <= moment <= end + CONTACT_SECONDS
                       for disrupted, begin, end in self.disruptions)
