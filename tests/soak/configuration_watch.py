"""Checks the responses of nodes against the configuration versions that the store acknowledged.

Each version adds a route and removes the one that the previous version added. Two invariants hold
under any fault: a node does not answer 404 for a route that was acknowledged well before the
request was sent and is still configured, and a process does not serve a route that was removed
before the process started.
"""

import dataclasses
import http.client
import random
import time

from platform_fleet import HOST

# Twice the maximum age of the store confirmation that a node needs to answer 404.
STALE_SECONDS = 1.0
# Numbers of additional unused routes, so that some seeds have large configuration versions.
IDLE_ROUTES = [0, 0, 700]
REQUEST_INTERVAL_SECONDS = 0.03


def route(name):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": "streaming",
            "timeout_ms": 20000, "target_latency_ms": 5000, "service": "chat", "max_attempts": 2,
            "session_affinity": True, "resumable": True, "gap_target_ms": 5000}


@dataclasses.dataclass
class WatchedRoute:
    """A route and when it was added and removed; times are of the monotonic clock."""

    name: str
    added_by: float = float("inf")  # When the store's acknowledgement was received.
    removal_started: float = float("inf")
    removed_by: float = float("inf")


class ConfigurationWatch:
    """Publishes the routes of one soak and sends requests for them.

    `publish` is called from the main thread, `watch` and `ask` from client threads.
    """

    def __init__(self, seed, platform, checker):
        self.random = random.Random("configurations %d" % seed)
        self.platform = platform
        self.checker = checker
        self.idle = [route("idle-%d" % i) for i in range(self.random.choice(IDLE_ROUTES))]
        self.routes = []

    def publish(self, version, configure):
        """Calls `configure` with the routes of a version and records when it is acknowledged."""
        added = WatchedRoute("v%d" % version)
        if self.routes:
            self.routes[-1].removal_started = time.monotonic()
        self.routes.append(added)
        configure([route(added.name)] + self.idle)
        added.added_by = time.monotonic()
        if len(self.routes) > 1:
            self.routes[-2].removed_by = added.added_by

    def watch(self, seed, call, stopped):
        """Sends requests until `stopped` is set; `call` sends one as the soak's clients do."""
        plan = random.Random("watch %s" % seed)
        sequence = 0
        while not stopped.is_set():
            sequence += 1
            self.ask(plan, "w%sx%d" % (seed, sequence), call)
            time.sleep(REQUEST_INTERVAL_SECONDS)

    def ask(self, plan, request, call):
        watched = plan.choice(self.routes[-2:])
        node = plan.randrange(len(self.platform.nodes))
        process_started = self.platform.node_processes[node].started_at
        sent = time.monotonic()
        headers = {"Stoathold-Attempt-Id": request, "Stoathold-Deadline-Ms": "5000",
                   **self.platform.key_headers(None)}
        try:
            status, _, _ = call(node, "POST", "/%s/1" % watched.name, b"q", headers)
        except (OSError, http.client.HTTPException):
            status = None
        self.checker.count("configuration %s" % status)
        self.check_response(watched, node, process_started, sent, status)

    def check_response(self, watched, node, process_started, sent, status):
        answered = time.monotonic()
        known = sent - watched.added_by > STALE_SECONDS and answered < watched.removal_started
        if status == 404 and known:
            self.checker.record_violation(
                "node %d answered 404 for %s, acknowledged %.1f s before the request" % (
                    node, watched.name, sent - watched.added_by))
        if status == 200 and watched.removed_by < process_started:
            self.checker.record_violation("node %d served %s, removed %.1f s before its start" % (
                node, watched.name, process_started - watched.removed_by))
