"""A soak in which all machines lose power at one moment, again and again, and at the end.

Items have realistic sizes and nodes reach the store over links of 30 Mbit/s. Faults, signals and
changes overlap: each heals some time after the next ones have begun. Promised is what the other
soak promises: each accepted item is listed in the end, or its job is readable as waiting; none is
gone.
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
from soak import CALL_TIMEOUT_SECONDS, UNSAFE_ROUTE, Soak, play_seeds  # noqa: E402

# 30 Mbit/s, of each node to the store.
LINK_BYTES_PER_SECOND = 30e6 / 8
# As many jobs as the runners finish soon; what is open at a loss is a good part of them.
MOST_JOBS = 80
MOST_ITEMS = 40
# Items of a service without runners: readable as waiting, for good.
WAITING_JOB = "waiting"
WAITING_ITEMS = 20
WAITING_ROUTE = {"name": "later", "host": HOST, "path_prefix": "/later/", "kind": "batch",
                 "timeout_ms": 20000, "target_latency_ms": 5000, "service": "absent",
                 "max_attempts": 3, "completion_target_ms": 20000, "retention_s": 600,
                 "max_queued_tokens": 100000}
# All jobs together are given so long after the last fault.
GIVE_UP_SECONDS = 120.0


class PowerLossSoak(Soak):
    """One run of a seed."""

    sizes = LARGE_SIZES
    link_bytes_per_second = LINK_BYTES_PER_SECOND
    most_jobs = MOST_JOBS

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.pending_heals = []
        self.losses = 0
        self.busy_nodes = set()
        self.waiting_accepted = False

    # Callers.

    def make_link(self, kind, name, address):
        link_address = super().make_link(kind, name, address)
        if kind == "store":
            self.store_links[-1].bound(self.link_bytes_per_second)
        return link_address

    @staticmethod
    def item_count(job):
        return 1 + sum(job.encode()) * 7 % MOST_ITEMS

    def exchange(self, address, method, target, body, headers):
        """Keeps a connection for each node and thread."""
        if not hasattr(self.local, "connections"):
            self.local.connections = KeptConnections(CALL_TIMEOUT_SECONDS)
        return self.local.connections.call(address, method, target, body, headers)

    def submit(self, nodes, job):
        if len(self.promises.accepted) < self.most_jobs:
            super().submit(nodes, job)

    def read(self, node, job, after):
        """While callers are at work, each look at a job is also one at a request that waits."""
        super().read(node, job, after)
        if self.waiting_accepted and not self.stopped.is_set():
            self.read_waiting(node, after % WAITING_ITEMS)

    def read_waiting(self, node, index):
        try:
            status, body = self.platform.item_body(node, WAITING_JOB, index)
        except (OSError, http.client.HTTPException):
            return
        self.promises.body_read(WAITING_JOB, index, status, body)

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
        self.note("node %d: %s" % (index, kind))
        self.busy_nodes.add(index)
        process = self.platform.node_processes[index]
        heal = {"kill": self.kill_node, "freeze": self.freeze_node, "stop": self.stop_node}[kind](
            index, process)

        def heal_and_note():
            heal()
            self.busy_nodes.discard(index)

        return heal_and_note

    def kill_node(self, index, process):
        process.kill()
        return lambda: self.start_if_down(index)

    def freeze_node(self, _index, process):
        # One that wakes may go on with a request that it had read.
        self.ends_excused += 1
        process.freeze()
        return process.wake

    def stop_node(self, index, process):
        """A planned stop that other faults may meet; only the node's own end is judged."""
        losses = self.losses
        handle = process.handle
        handle.send_signal(signal.SIGTERM)

        def await_end():
            code = handle.wait(60.0)
            if code != 0 and losses == self.losses:
                self.promises.break_one("node %d: a planned stop ended with %s" % (index, code))
            self.start_if_down(index)

        return await_end

    def fault_signals(self):
        """Signals in series: the settings may have changed, several times."""
        index = self.random.randrange(self.node_count)
        if index in self.busy_nodes or not self.is_up(index):
            return lambda: None
        self.note("node %d: settings signalled" % index)
        process = self.platform.node_processes[index]
        for _ in range(3):
            process.handle.send_signal(signal.SIGHUP)
        return lambda: None

    def lose_power(self):
        """All nodes end at one moment, at times with all runners and a store that forgets."""
        runners_too = self.random.random() < 0.3
        forgets = self.random.random() < 0.7
        if self.start_random.random() < 0.5:
            self.change_in_series()
        self.note("power lost; runners too: %s; the store forgets: %s" % (runners_too, forgets))
        if forgets:
            self.platform.faults(self.platform.store, drop_history=True)
        self.losses += 1
        # Nodes may forget two ends that no record holds yet.
        self.ends_excused += 2
        with self.runners_lock:
            for name in self.platform.runners if runners_too else []:
                self.revive_runner(name)
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

    def change_in_series(self):
        """Nodes that end right after an acknowledgement read a history of several versions."""
        for _ in range(self.start_random.choice([1, 5, 20])):
            self.version += 1
            self.configure()
        self.note("configurations up to %d in series" % self.version)

    def change_configuration(self):
        self.version += self.random.randrange(1, 4)
        self.note("configuration %d" % self.version)
        self.configure()
        return lambda: None

    def configure(self):
        self.configuration_watch.publish(
            self.version,
            lambda routes: self.platform.configure(
                self.version, [UNSAFE_ROUTE, WAITING_ROUTE] + routes, extra_services=["absent"]))

    def other_faults(self):
        """Faults of a kind of soak that this one has not."""
        return []

    def disturb(self):
        wait_for(lambda: self.platform.submit(
            0, WAITING_JOB, WAITING_ITEMS, prefix=WAITING_ROUTE["path_prefix"]) == 202, "a job")
        self.waiting_accepted = True
        faults = [self.fault_link, self.fault_node, self.fault_runner, self.fault_store,
                  self.fault_signals, self.change_configuration] + self.other_faults()
        for _ in range(self.steps):
            for fault in self.random.sample(faults, self.random.choice([1, 1, 2, 3])):
                self.heal_later(fault())
                self.pass_time(self.random.choice([0.0, 0.1, 0.5]))
            if self.random.random() < 0.5:
                self.lose_power()
            self.pass_time(self.random.choice([0.3, 1.0, 3.0]))
        self.end_with_a_loss()

    def end_with_a_loss(self):
        """The last loss comes while callers are at work, or just after their last answer."""
        self.end_calm()
        self.lose_power()

    def end_calm(self):
        """Ends the callers' work at times, and all faults."""
        if self.random.random() < 0.5:
            self.stopped.set()
        for _, heal in sorted(self.pending_heals, key=lambda pending: pending[0]):
            heal()

    def heal_later(self, heal):
        due = time.monotonic() + self.random.choice([0.2, 1.0, 3.0])
        self.pending_heals.append((due, heal))

    def pass_time(self, seconds):
        """Heals what is due meanwhile."""
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

    # The end.

    def wait_jobs(self):
        """Reads all jobs in turn until they are whole, or nothing more is expected."""
        open_jobs = dict(self.promises.accepted)

        def all_whole():
            for number, (job, count) in enumerate(list(open_jobs.items())):
                self.read(number % self.node_count, job, self.promises.next_position(job))
                if self.promises.next_position(job) >= count:
                    del open_jobs[job]
            return not open_jobs

        try:
            wait_for(all_whole, "all jobs", GIVE_UP_SECONDS)
        except TimeoutError:
            missing = {job: count - self.promises.next_position(job)
                       for job, count in open_jobs.items()}
            self.promises.break_one(
                "%d items of %d jobs: not listed %d s after the last fault: %s" % (
                    sum(missing.values()), len(missing), GIVE_UP_SECONDS, missing))
        for job in self.promises.accepted:
            self.read(0, job, 0)
        for index in range(WAITING_ITEMS):
            self.read_waiting(index % self.node_count, index)
        self.note("%d losses of power, %d jobs" % (self.losses, len(self.promises.accepted)))


if __name__ == "__main__":
    play_seeds(PowerLossSoak, "power_loss_seeds.txt", __doc__)
