"""Checks the guarantees given to clients against what clients and runners observed."""

import threading

from platform_fleet import SMALL_SIZES, stream_text

NOT_RUN_STATUSES = (408, 421, 429, 503)


class InvariantChecker:
    """Records responses; `violations` holds one line for each violated invariant. Thread safe."""

    def __init__(self, sizes=SMALL_SIZES):
        self.sizes = sizes
        self.lock = threading.Lock()
        self.violations = []
        self.counts = {}
        self.unsafe = {}
        self.accepted = {}
        self.positions = {}
        self.runner_crashes = 0

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def record_violation(self, text):
        with self.lock:
            self.violations.append(text)

    def check_stream_response(self, request, status, body, complete):
        """Checks a resumable stream: complete or visibly truncated, never wrong."""
        self.count("stream %s" % (status if complete else "cut"))
        if b"quarantined" in body:
            self.record_violation("stream %s: quarantined although it crashes no runner" % request)
        if status != 200:
            return
        text = body.decode(errors="replace")
        if complete and text != stream_text("q"):
            self.record_violation("stream %s: complete, but wrong text: %r" % (request, text))
        if not complete and not stream_text("q").startswith(text):
            self.record_violation(
                "stream %s: cut, and not a prefix of the response: %r" % (request, text))

    def check_crashing_response(self, status, body, complete):
        """Checks the response to a request that crashes runners: it never succeeds."""
        self.count("deadly %s" % (status if complete else "cut"))
        if complete and status == 200:
            self.record_violation("crashing request: succeeded: %r" % body)

    def count_runner_crash(self):
        self.count("runner ended by a request")
        with self.lock:
            self.runner_crashes += 1

    def check_runner_crashes(self, allowed_extra):
        """Checks that one request crashed at most six runners.

        It is quarantined after three crashes, and three more sends may be in flight by then.
        """
        limit = 6 + allowed_extra
        if self.runner_crashes > limit:
            self.record_violation("%d runners crashed by one request, limit %d" % (
                self.runner_crashes, limit))

    def check_unsafe_response(self, request, status, body):
        """Checks a request that runs at most once; `status` is None without a complete response."""
        self.count("unsafe %s" % status)
        with self.lock:
            self.unsafe[request] = status
        if b"quarantined" in body:
            self.record_violation("unsafe %s: quarantined although it crashes no runner" % request)
        if status == 200 and body.decode() != stream_text("q"):
            self.record_violation("unsafe %s: wrong response body" % request)

    def record_accepted_job(self, job, count):
        self.count("job accepted")
        with self.lock:
            self.accepted[job] = count
            self.positions[job] = {}

    def check_results_page(self, job, after, status, page):
        """Checks a results page of an accepted job: never 404, and no position ever changes."""
        if status == 404:
            self.record_violation("job %s: 404 after it was accepted" % job)
        if status != 200:
            return
        if page["total"] != self.accepted[job]:
            self.record_violation("job %s: wrong total %s" % (job, page["total"]))
        with self.lock:
            known = self.positions[job]
            for position, result in enumerate(page["results"], after):
                before = known.setdefault(position, result)
                if before != result:
                    self.violations.append("job %s: position %d changed" % (job, position))

    def check_item_body(self, job, index, status, body):
        """Checks the stored request of an item that never completes: present and unchanged."""
        self.count("body %s" % status)
        if status == 404:
            self.record_violation("body of %s-%d: 404 after it was accepted" % (job, index))
        if status == 200 and body != self.sizes.item_body(index):
            self.record_violation("body of %s-%d: content changed" % (job, index))

    def next_position(self, job):
        """Returns the first position of a job that has not been read."""
        with self.lock:
            position = 0
            while position in self.positions[job]:
                position += 1
            return position

    def check_results(self, failing_items_allowed):
        """Checks after the faults that each item is listed once and each output is complete."""
        for job, count in self.accepted.items():
            results = self.positions[job]
            ids = sorted(result["id"] for result in results.values())
            if ids != sorted("%s-%d" % (job, index) for index in range(count)):
                self.record_violation("job %s: items listed: %s" % (job, ids))
            for result in results.values():
                index = int(result["id"].rsplit("-", 1)[1])
                text = self.sizes.item_text(index)
                if result["state"] == "completed" and result["message"] != text:
                    self.record_violation("item %s: incomplete or wrong output" % result["id"])
                if result["state"] != "completed" and not failing_items_allowed:
                    self.record_violation(
                        "item %s: given up although no fault makes items fail" % result["id"])

    def check_unsafe(self, runs):
        """Checks the execution counts of unsafe requests.

        `runs` counts executions at all runners. It is a lower bound, because runners restart.
        """
        for request, status in self.unsafe.items():
            if runs.get(request, 0) > 1:
                self.record_violation("unsafe %s: ran %d times" % (request, runs[request]))
            if status in NOT_RUN_STATUSES and runs.get(request, 0) > 0:
                self.record_violation("unsafe %s: answered %s and ran" % (request, status))
