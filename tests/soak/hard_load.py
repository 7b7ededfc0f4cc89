"""Soak test with a memory limit: tenant floods, slow clients, slow runners, kills, power losses.

Faults overlap as in the power-loss soak, and power loss is one of them. Signals arrive in bursts,
also right after a process starts. Clients reuse connections until the process behind them ends.
Checks the invariants of the other soaks, and that no node exceeds its memory limit.
"""

import dataclasses
import http.client
import pathlib
import re
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from memory_limit_test import SlowClient, is_explicit_rejection  # noqa: E402
from platform_fleet import HOST, LARGE_SIZES, stream_text  # noqa: E402
from fleet import wait_for  # noqa: E402

from kept_connections import KeptConnections  # noqa: E402
from power_loss import ROUTE_WITHOUT_RUNNERS, PowerLossSoak  # noqa: E402
from soak import CALL_TIMEOUT_SECONDS, UNSAFE_ROUTE, blocks_or_handles_sigterm, run_seeds  # noqa: E402

# 16 MB of it are the budget for data that a node holds on behalf of others.
MEMORY_MB = 64
# A request body of 60 kB yields a response of 300 kB, more than the client's socket buffers hold.
SIZES = dataclasses.replace(LARGE_SIZES, event_bytes=60000)
SLOW_BODY = b"s" * 60000
SLOW_CLIENTS = 40
SLOW_CLIENT_SECONDS = 4
# Throughput of a slow runner in each direction, in bytes per second.
SLOW_RUNNER_BYTES = 40000
OWN_KEY = "key-of-alder"
FLOOD_KEYS = ["key-of-birch", "key-of-cedar", "key-of-dogwood"]
FLOOD_CLIENTS = 12
FLOOD_SECONDS = 2.0
# Only birch has a rate limit: 20 requests per second over all nodes.
TENANTS = [{"name": key.removeprefix("key-of-"), "api_keys": [key],
            "rate_per_s": 20 if key == FLOOD_KEYS[0] else 0, "burst": 40}
           for key in [OWN_KEY] + FLOOD_KEYS]


class HardLoadSoak(PowerLossSoak):
    """One soak run for one seed."""

    sizes = SIZES
    max_jobs = 12
    memory_mb = MEMORY_MB

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.platform.key = OWN_KEY
        self.background = []
        self.series = 0

    @staticmethod
    def item_count(job):
        return 1 + sum(job.encode()) * 7 % 6

    def call(self, node, method, target, body, headers):
        return super().call(node, method, target, body, dict(headers, **{"Stoathold-Key": OWN_KEY}))

    def configure(self):
        self.configuration_watch.publish(
            self.version,
            lambda routes: self.platform.configure(
                self.version, [UNSAFE_ROUTE, ROUTE_WITHOUT_RUNNERS] + routes, tenants=TENANTS,
                extra_services=["absent"]))

    # Load.

    def start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self.background.append(thread)

    def fault_flood(self):
        """Several tenants send requests in a closed loop, rotating over the nodes."""
        self.log("flood")
        end = time.monotonic() + FLOOD_SECONDS
        for number in range(FLOOD_CLIENTS):
            self.start_thread(self.flood, number, end)
        return lambda: None

    def flood(self, number, end):
        key = FLOOD_KEYS[number % len(FLOOD_KEYS)]
        connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        sequence = 0
        while time.monotonic() < end:
            sequence += 1
            headers = {"Host": HOST, "Stoathold-Key": key, "Stoathold-Deadline-Ms": "5000",
                       "Stoathold-Attempt-Id": "f%dx%dx%d" % (end * 1000, number, sequence)}
            try:
                status, _, body = connections.call(
                    self.platform.nodes[sequence % self.node_count], "POST", "/ask/1", b"q",
                    headers)
            except (OSError, http.client.HTTPException):
                self.checker.count("flood cut")
                time.sleep(0.01)
                continue
            self.checker.count("flood %s" % status)
            if status == 200 and body.decode() != stream_text("q"):
                self.checker.record_violation("flood of %s: wrong response body" % key)
            if status == 429 and key != FLOOD_KEYS[0]:
                self.checker.record_violation("flood of %s: 429 without a rate limit" % key)

    def fault_slow_clients(self):
        """Many clients of one node read one byte per second, some until its process ends."""
        index = self.random.randrange(self.node_count)
        self.log("slow clients at node %d" % index)
        self.series += 1
        self.start_thread(self.slow_clients, index, self.series)
        return lambda: None

    def slow_clients(self, index, series):
        clients = []
        for number in range(SLOW_CLIENTS):
            try:
                clients.append(SlowClient(self.platform.nodes[index], series * 1000 + number,
                                          SLOW_BODY, "Stoathold-Key: %s\r\n" % OWN_KEY))
            except OSError:
                self.checker.count("slow caller not connected")
        for _ in range(SLOW_CLIENT_SECONDS):
            for client in clients:
                if client.open:
                    client.advance()
            time.sleep(1.0)
        self.check_memory(index)
        for client in clients:
            self.checker.count("slow caller %s" % (client.text[:1].decode() or "unanswered"))
            if not b"HTTP/1.1 ".startswith(client.text[:9]):
                self.checker.record_violation("slow client: not an HTTP response: %r" % client.text)
            client.close()

    def check_memory(self, index):
        """Checks the peak resident memory of a node's process."""
        try:
            pid = self.platform.node_processes[index].handle.pid
            process_status = pathlib.Path("/proc/%d/status" % pid).read_text()
        except OSError:
            return
        peak = re.search(r"VmHWM:\s+(\d+) kB", process_status)
        if peak is None:
            return
        self.checker.count("looks at memory")
        if int(peak.group(1)) > MEMORY_MB * 1024:
            self.checker.record_violation("node %d: peak of %s kB resident exceeds the limit" % (
                index, peak.group(1)))

    def fault_slow_runner(self):
        """Bounds the throughput of one runner while large request bodies are sent."""
        name = self.random.choice(sorted(self.runner_links))
        self.log("runner %s: throughput limited" % name)
        link = self.runner_links[name]
        link.limit_rate(SLOW_RUNNER_BYTES)
        for number in range(4):
            self.start_thread(self.ask_large, self.random.randrange(self.node_count), number)
        return lambda: link.limit_rate(None)

    def ask_large(self, node, number):
        request = "large%dx%f" % (number, time.monotonic())
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "10000"}
        status, body, complete = self.call(node, "POST", "/ask/1", SLOW_BODY, headers)
        self.checker.count("large %s" % (status if complete else "cut"))
        if complete and status == 200 and body.decode() != stream_text(SLOW_BODY.decode()):
            self.checker.record_violation("%s: wrong response body" % request)
        if complete and status in (413, 503) and not is_explicit_rejection(status, body):
            self.checker.record_violation("%s: status %s without an error body" % (request, status))

    # Signals.

    def fault_signals(self):
        """Sends a burst of signals to a node, also right after its start or during its shutdown."""
        index = self.random.randrange(self.node_count)
        process = self.platform.node_processes[index]
        if index in self.busy_nodes or process.handle.poll() is not None:
            return lambda: None
        wait_for(lambda: blocks_or_handles_sigterm(process),
                 "node %d to block or handle signals" % index)
        series = [self.random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGSTOP])
                  for _ in range(self.random.randrange(1, 5))]
        stops = self.random.random() < 0.4
        self.log("node %d: signals %s%s" % (index, [each.name for each in series],
                                             ", then a graceful shutdown" if stops else ""))
        for each in series:
            process.handle.send_signal(each)
            if each == signal.SIGSTOP:
                # A node that resumes may continue a request that it read before it was suspended.
                self.allowed_extra_crashes += 1
                time.sleep(0.05)
                process.handle.send_signal(signal.SIGCONT)
        if not stops:
            return lambda: None
        self.busy_nodes.add(index)
        heal = self.stop_node(index, process)
        process.handle.send_signal(signal.SIGHUP)

        def heal_and_release():
            heal()
            self.busy_nodes.discard(index)

        return heal_and_release

    def extra_faults(self):
        return [self.fault_flood, self.fault_slow_clients, self.fault_slow_runner]

    def wait_and_verify(self):
        for thread in self.background:
            thread.join(60)
        for index in range(self.node_count):
            self.check_memory(index)
        super().wait_and_verify()


if __name__ == "__main__":
    run_seeds(HardLoadSoak, "hard_load_seeds.txt", __doc__)
