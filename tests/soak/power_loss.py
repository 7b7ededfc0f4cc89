"""Soak test in which all machines lose power at once, repeatedly and at the end.

Items have realistic sizes and nodes reach the store over links of 30 Mbit/s. Faults, signals and
configuration changes overlap: each heals some time after the next ones begin. The invariants are
those of the base soak: each accepted item is finally listed, or its job is readable as waiting;
none is lost.
"""

import http.client
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "system"))
from platform_fleet import HOST, LARGE_SIZES  # noqa: E402
from fleet import wait_for  # noqa: E402

from kept_connections import KeptConnections  # noqa: E402
from soak import CALL_TIMEOUT_SECONDS, UNSAFE_ROUTE, Soak, run_seeds  # noqa: E402

# 30 Mbit/s from each node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
# Few enough for the runners to finish soon, with a large part of them open at a power loss.
MAX_JOBS = 80
MAX_ITEMS = 40
# Items of a service without runners: they stay readable as waiting.
WAITING_JOB = "waiting"
WAITING_ITEMS = 20
ROUTE_WITHOUT_RUNNERS = {"name": "later", "host": HOST, "path_prefix": "/later/", "kind": "batch",
                 "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent",
                 "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                 "max_queued_tokens": 100000}
# Time for all jobs together to complete after the last fault.
COMPLETION_TIMEOUT_SECONDS = 120.0


class PowerLossSoak(Soak):
    """One soak run for one seed."""

    sizes = LARGE_SIZES
    link_bytes_per_second = LINK_BYTES_PER_SECOND
    max_jobs = MAX_JOBS

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.pending_heals = []
        self.losses = 0
        self.busy_nodes = set()
        self.waiting_accepted = False

    # Clients.

    def make_link(self, kind, name, address):
        link_address = super().make_link(kind, name, address)
        if kind == "store":
            self.store_links[-1].limit_rate(self.link_bytes_per_second)
        return link_address

    @staticmethod
    def item_count(job):
        return 1 + sum(job.encode()) * 7 % MAX_ITEMS

    def exchange(self, address, method, target, body, headers):
        """Sends one request on the connection kept for the node and thread."""
        if not hasattr(self.local, "connections"):
            self.local.connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        return self.local.connections.call(address, method, target, body, headers)

    def submit(self, nodes, job):
        if len(self.checker.accepted) < self.max_jobs:
            super().submit(nodes, job)

    def read(self, node, job, after):
        """While clients are active, each read of a job also reads the request of a waiting item."""
        super().read(node, job, after)
        if self.waiting_accepted and not self.stopped.is_set():
            self.read_waiting(node, after % WAITING_ITEMS)

    def read_waiting(self, node, index):
        try:
            status, body = self.platform.item_body(node, WAITING_JOB, index)
        except (OSError, http.client.HTTPException):
            return
        self.checker.check_item_body(WAITING_JOB, index, status, body)

    # Faults.

    def start_if_down(self, index):
        process = self.platform.node_processes[index]
        if process.handle.poll() is not None:
            process.start()

    def fault_node(self):
        index = self.random.randrange(self.node_count)
        kind = self.random.choice(["kill", "freeze", "stop"])
        if index in self.busy_nodes or not self.is_up(index):
            return lambda: None
        self.log("node %d: %s" % (index, kind))
        self.busy_nodes.add(index)
        process = self.platform.node_processes[index]
        heal = {"kill": self.kill_node, "freeze": self.suspend_node, "stop": self.stop_node}[kind](
            index, process)

        def heal_and_release():
            heal()
            self.busy_nodes.discard(index)

        return heal_and_release

    def kill_node(self, index, process):
        process.kill()
        return lambda: self.start_if_down(index)

    def suspend_node(self, _index, process):
        # A node that resumes may continue a request that it read before it was suspended.
        self.allowed_extra_crashes += 1
        process.suspend()
        return process.resume

    def stop_node(self, index, process):
        """Starts a graceful shutdown; its exit code is ignored if a power loss interrupts it."""
        losses = self.losses
        handle = process.handle
        handle.send_signal(signal.SIGTERM)

        def await_end():
            code = handle.wait(60.0)
            if code != 0 and losses == self.losses:
                self.checker.record_violation(
                    "node %d: graceful shutdown exited with %s" % (index, code))
            self.start_if_down(index)

        return await_end

    def fault_signals(self):
        """Sends several reload signals in a row."""
        index = self.random.randrange(self.node_count)
        if index in self.busy_nodes or not self.is_up(index):
            return lambda: None
        self.log("node %d: three settings reloads" % index)
        process = self.platform.node_processes[index]
        for _ in range(3):
            process.handle.send_signal(signal.SIGHUP)
        return lambda: None

    def lose_power(self):
        """Kills all nodes at once, sometimes all runners too; the store may drop its history."""
        runners_too = self.random.random() < 0.3
        drops_history = self.random.random() < 0.7
        if self.start_random.random() < 0.5:
            self.publish_several_versions()
        self.log("power loss; runners too: %s; store drops its history: %s" % (
            runners_too, drops_history))
        if drops_history:
            self.platform.set_faults(self.platform.store, drop_history=True)
        self.losses += 1
        # Up to two runner crashes that are not recorded yet may be lost.
        self.allowed_extra_crashes += 2
        with self.runners_lock:
            for name in self.platform.runners if runners_too else []:
                self.restart_if_crashed(name)
                self.collect_runs(name)
            lost = list(self.platform.node_processes)
            lost += self.platform.runner_processes if runners_too else []
            for process in lost:
                process.handle.kill()
            for process in lost:
                process.handle.wait()
            time.sleep(self.random.choice([0.1, 0.5, 2.0]))
            for name in self.platform.runners if runners_too else []:
                self.platform.start_runner_again(name)
            for index in range(self.node_count):
                self.start_if_down(index)

    def publish_several_versions(self):
        """Publishes versions that nodes, when killed right afterwards, read together at start."""
        for _ in range(self.start_random.choice([1, 5, 20])):
            self.version += 1
            self.configure()
        self.log("configurations up to %d in a row" % self.version)

    def change_configuration(self):
        self.version += self.random.randrange(1, 4)
        self.log("configuration %d" % self.version)
        self.configure()
        return lambda: None

    def configure(self):
        self.configuration_watch.publish(
            self.version,
            lambda routes: self.platform.configure(
                self.version, [UNSAFE_ROUTE, ROUTE_WITHOUT_RUNNERS] + routes,
                extra_services=["absent"]))

    def extra_faults(self):
        """Returns additional faults; overridden by derived soaks."""
        return []

    def inject_faults(self):
        wait_for(lambda: self.platform.submit(
            0, WAITING_JOB, WAITING_ITEMS, prefix=ROUTE_WITHOUT_RUNNERS["path_prefix"]) == 202,
            "the waiting job to be accepted")
        self.waiting_accepted = True
        faults = [self.fault_link, self.fault_node, self.fault_runner, self.fault_store,
                  self.fault_signals, self.change_configuration] + self.extra_faults()
        for _ in range(self.steps):
            for fault in self.random.sample(faults, self.random.choice([1, 1, 2, 3])):
                self.schedule_heal(fault())
                self.wait_and_heal(self.random.choice([0.0, 0.1, 0.5]))
            if self.random.random() < 0.5:
                self.lose_power()
            self.wait_and_heal(self.random.choice([0.3, 1.0, 3.0]))
        self.inject_final_power_loss()

    def inject_final_power_loss(self):
        """Injects the last power loss while clients are active or after their last response."""
        self.heal_all_faults()
        self.lose_power()

    def heal_all_faults(self):
        """Stops the clients in half of the cases, and heals all faults."""
        if self.random.random() < 0.5:
            self.stopped.set()
        for _, heal in sorted(self.pending_heals, key=lambda pending: pending[0]):
            heal()

    def schedule_heal(self, heal):
        due = time.monotonic() + self.random.choice([0.2, 1.0, 3.0])
        self.pending_heals.append((due, heal))

    def wait_and_heal(self, seconds):
        """Sleeps for `seconds` and heals the faults that become due meanwhile."""
        end = time.monotonic() + seconds
        while True:
            now = time.monotonic()
            due = [pending for pending in self.pending_heals if pending[0] <= now]
            self.pending_heals = [pending for pending in self.pending_heals if pending[0] > now]
            for _, heal in sorted(due, key=lambda pending: pending[0]):
                heal()
            if now >= end:
                return
            time.sleep(0.02)

    # Final checks.

    def wait_jobs(self):
        """Reads all jobs in turn until they are complete or the timeout expires."""
        open_jobs = dict(self.checker.accepted)

        def all_whole():
            for number, (job, count) in enumerate(list(open_jobs.items())):
                self.read(number % self.node_count, job, self.checker.next_position(job))
                if self.checker.next_position(job) >= count:
                    del open_jobs[job]
            return not open_jobs

        try:
            wait_for(all_whole, "all jobs", COMPLETION_TIMEOUT_SECONDS)
        except TimeoutError:
            missing = {job: count - self.checker.next_position(job)
                       for job, count in open_jobs.items()}
            self.checker.record_violation(
                "%d items of %d jobs not listed %d s after the last fault: %s" % (
                    sum(missing.values()), len(missing), COMPLETION_TIMEOUT_SECONDS, missing))
        for job in self.checker.accepted:
            self.read(0, job, 0)
        for index in range(WAITING_ITEMS):
            self.read_waiting(index % self.node_count, index)
        self.log("%d power losses, %d jobs" % (self.losses, len(self.checker.accepted)))


if __name__ == "__main__":
    run_seeds(PowerLossSoak, "power_loss_seeds.txt", __doc__)
