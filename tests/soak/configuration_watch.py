"""What nodes may say by the configuration that they have, held against what the store acknowledged.

Each change adds a route and drops the one that the change before had added. Two promises, whatever
fails meanwhile: no route is denied that was acknowledged well before the request was sent and has
not been dropped since, and no process serves a route that was dropped before it began.
"""

import dataclasses
import http.client
import random
import time

from platform_fleet import HOST

# Twice as old as the confirmation by which a node may deny.
STALE_SECONDS = 1.0
# Routes beside those that are asked for, so that some seeds have large versions.
IDLE_ROUTES = [0, 0, 700]
ASK_EVERY_SECONDS = 0.03


def route(name):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": "streaming",
            "timeout_ms": 20000, "target_latency_ms": 5000, "service": "chat", "max_attempts": 2,
            "session_affinity": True, "resumable": True, "gap_target_ms": 5000}


@dataclasses.dataclass
class WatchedRoute:
    """A route and when the store took it in and dropped it; times of the monotonic clock."""

    name: str
    added_by: float = float("inf")  # The acknowledgement had come by then.
    drop_begun: float = float("inf")
    dropped_by: float = float("inf")


class ConfigurationWatch:
    """Publishes the routes of one soak and asks for them. `ask` runs on threads of its own."""

    def __init__(self, seed, platform, promises):
        self.random = random.Random("configurations %d" % seed)
        self.platform = platform
        self.promises = promises
        self.idle = [route("idle-%d" % i) for i in range(self.random.choice(IDLE_ROUTES))]
        self.routes = []

    def publish(self, version, configure):
        """Calls `configure` with the routes of a version and notes its acknowledgement."""
        added = WatchedRoute("v%d" % version)
        if self.routes:
            self.routes[-1].drop_begun = time.monotonic()
        self.routes.append(added)
        configure([route(added.name)] + self.idle)
        added.added_by = time.monotonic()
        if len(self.routes) > 1:
            self.routes[-2].dropped_by = added.added_by

    def watch(self, seed, call, stopped):
        """Asks until `stopped`; `call` sends a request as the soak's callers do."""
        plan = random.Random("watch %s" % seed)
        turn = 0
        while not stopped.is_set():
            turn += 1
            self.ask(plan, "w%sx%d" % (seed, turn), call)
            time.sleep(ASK_EVERY_SECONDS)

    def ask(self, plan, request, call):
        asked = plan.choice(self.routes[-2:])
        node = plan.randrange(len(self.platform.nodes))
        begun = self.platform.node_processes[node].started_at
        sent = time.monotonic()
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "5000",
                   **self.platform.keys_of(None)}
        try:
            status, _, _ = call(node, "POST", "/%s/1" % asked.name, b"q", headers)
        except (OSError, http.client.HTTPException):
            status = None
        self.promises.count("configuration %s" % status)
        self.judge(asked, node, begun, sent, status)

    def judge(self, asked, node, begun, sent, status):
        answered = time.monotonic()
        known = sent - asked.added_by > STALE_SECONDS and answered < asked.drop_begun
        if status == 404 and known:
            self.promises.break_one("node %d denied %s, acknowledged %.1f s before it was sent" % (
                node, asked.name, sent - asked.added_by))
        if status == 200 and asked.dropped_by < begun:
            self.promises.break_one("node %d served %s, dropped %.1f s before its start" % (
                node, asked.name, begun - asked.dropped_by))
