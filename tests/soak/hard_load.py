"""A soak of nodes with a limit of memory: tenants in floods, slow callers and slow runners, with kills.

Faults overlap as in the soak of losses of power, which is one of them; signals come in series, also
in the moments after a start. Callers use open connections until the process behind them is gone.
Promised is what the other soaks promise, and that no node outgrows its limit.
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
from memory_limit_test import SlowCaller, is_clear_refusal  # noqa: E402
from platform_fleet import HOST, LARGE_SIZES, stream_text  # noqa: E402
from fleet import wait_for  # noqa: E402

from kept_connections import KeptConnections  # noqa: E402
from power_loss import WAITING_ROUTE, PowerLossSoak  # noqa: E402
from soak import CALL_TIMEOUT_SECONDS, UNSAFE_ROUTE, heeds_signals, play_seeds  # noqa: E402

# Of which 16 MB are for what is held for others.
MEMORY_MB = 64
# An answer to a body of 60 kB has 300 kB, more than its caller's socket takes at once.
SIZES = dataclasses.replace(LARGE_SIZES, event_bytes=60000)
SLOW_BODY = b"s" * 60000
SLOW_CALLERS = 40
SLOW_CALLER_SECONDS = 4
# Bytes a second that a slow runner reads and writes.
SLOW_RUNNER_BYTES = 40000
OWN_KEY = "key-of-alder"
FLOOD_KEYS = ["key-of-birch", "key-of-cedar", "key-of-dogwood"]
FLOOD_CALLERS = 12
FLOOD_SECONDS = 2.0
# Only birch has a rate: 20 a second over all nodes.
TENANTS = [{"name": key.removeprefix("key-of-"), "api_keys": [key],
            "rate_per_s": 20 if key == FLOOD_KEYS[0] else 0, "burst": 40}
           for key in [OWN_KEY] + FLOOD_KEYS]


class HardLoadSoak(PowerLossSoak):
    """One run of a seed."""

    sizes = SIZES
    most_jobs = 12
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
                self.version, [UNSAFE_ROUTE, WAITING_ROUTE] + routes, tenants=TENANTS,
                extra_services=["absent"]))

    # Load.

    def start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self.background.append(thread)

    def fault_flood(self):
        """Several tenants ask as fast as they are answered, each call at another node."""
        self.note("flood")
        end = time.monotonic() + FLOOD_SECONDS
        for number in range(FLOOD_CALLERS):
            self.start_thread(self.flood, number, end)
        return lambda: None

    def flood(self, number, end):
        key = FLOOD_KEYS[number % len(FLOOD_KEYS)]
        connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        turn = 0
        while time.monotonic() < end:
            turn += 1
            headers = {"Host": HOST, "Stoathold-Key": key, "Stoathold-Deadline-Ms": "5000",
                       "Stoathold-Attempt-Id": "f%dx%dx%d" % (end * 1000, number, turn)}
            try:
                status, _, body = connections.call(
                    self.platform.nodes[turn % self.node_count], "POST", "/ask/1", b"q", headers)
            except (OSError, http.client.HTTPException):
                self.promises.count("flood cut")
                time.sleep(0.01)
                continue
            self.promises.count("flood %s" % status)
            if status == 200 and body.decode() != stream_text("q"):
                self.promises.break_one("flood of %s: a wrong answer" % key)
            if status == 429 and key != FLOOD_KEYS[0]:
                self.promises.break_one("flood of %s: over a limit that it does not have" % key)

    def fault_slow_callers(self):
        """Callers that take a byte a second, many at one node, some until its process is gone."""
        index = self.random.randrange(self.node_count)
        self.note("slow callers at node %d" % index)
        self.series += 1
        self.start_thread(self.slow_callers, index, self.series)
        return lambda: None

    def slow_callers(self, index, series):
        callers = []
        for number in range(SLOW_CALLERS):
            try:
                callers.append(SlowCaller(self.platform.nodes[index], series * 1000 + number,
                                          SLOW_BODY, "Stoathold-Key: %s\r\n" % OWN_KEY))
            except OSError:
                self.promises.count("slow caller not connected")
        for _ in range(SLOW_CALLER_SECONDS):
            for caller in callers:
                if caller.open:
                    caller.go_on()
            time.sleep(1.0)
        self.check_memory(index)
        for caller in callers:
            self.promises.count("slow caller %s" % (caller.text[:1].decode() or "unanswered"))
            if not b"HTTP/1.1 ".startswith(caller.text[:9]):
                self.promises.break_one("slow caller: no answer: %r" % caller.text)
            caller.close()

    def check_memory(self, index):
        """The most that a node's process has held resident so far."""
        try:
            pid = self.platform.node_processes[index].handle.pid
            told = pathlib.Path("/proc/%d/status" % pid).read_text()
        except OSError:
            return
        peak = re.search(r"VmHWM:\s+(\d+) kB", told)
        if peak is None:
            return
        self.promises.count("looks at memory")
        if int(peak.group(1)) > MEMORY_MB * 1024:
            self.promises.break_one("node %d: %s kB resident" % (index, peak.group(1)))

    def fault_slow_runner(self):
        """A runner that reads and writes slowly, while large bodies are sent to all."""
        name = self.random.choice(sorted(self.runner_links))
        self.note("runner %s reads slowly" % name)
        link = self.runner_links[name]
        link.bound(SLOW_RUNNER_BYTES)
        for number in range(4):
            self.start_thread(self.ask_large, self.random.randrange(self.node_count), number)
        return lambda: link.bound(None)

    def ask_large(self, node, number):
        request = "large%dx%f" % (number, time.monotonic())
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "10000"}
        status, body, whole = self.call(node, "POST", "/ask/1", SLOW_BODY, headers)
        self.promises.count("large %s" % (status if whole else "cut"))
        if whole and status == 200 and body.decode() != stream_text(SLOW_BODY.decode()):
            self.promises.break_one("%s: a wrong answer" % request)
        if whole and status in (413, 503) and not is_clear_refusal(status, body):
            self.promises.break_one("%s: %s without a reason" % (request, status))

    # Signals.

    def fault_signals(self):
        """Signals in series, from the first moment of a process on; at times up to its end."""
        index = self.random.randrange(self.node_count)
        process = self.platform.node_processes[index]
        if index in self.busy_nodes or process.handle.poll() is not None:
            return lambda: None
        wait_for(lambda: heeds_signals(process), "node %d to hold signals" % index)
        series = [self.random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGSTOP])
                  for _ in range(self.random.randrange(1, 5))]
        stops = self.random.random() < 0.4
        self.note("node %d: signals %s%s" % (index, [each.name for each in series],
                                             ", then a planned stop" if stops else ""))
        for each in series:
            process.handle.send_signal(each)
            if each == signal.SIGSTOP:
                # One that wakes may go on with a request that it had read.
                self.ends_excused += 1
                time.sleep(0.05)
                process.handle.send_signal(signal.SIGCONT)
        if not stops:
            return lambda: None
        self.busy_nodes.add(index)
        heal = self.stop_node(index, process)
        process.handle.send_signal(signal.SIGHUP)

        def heal_and_note():
            heal()
            self.busy_nodes.discard(index)

        return heal_and_note

    def other_faults(self):
        return [self.fault_flood, self.fault_slow_callers, self.fault_slow_runner]

    def settle(self):
        for thread in self.background:
            thread.join(60)
        for index in range(self.node_count):
            self.check_memory(index)
        super().settle()


if __name__ == "__main__":
    play_seeds(HardLoadSoak, "hard_load_seeds.txt", __doc__)
