"""What callers were promised, held against what they and the runners saw."""

import threading

from platform_fleet import SMALL_SIZES, stream_text

NOT_RUN_STATUSES = (408, 421, 429, 503)


class Promises:
    """Collects what callers saw; `broken` holds one line for each broken promise. Thread safe."""

    def __init__(self, sizes=SMALL_SIZES):
        self.sizes = sizes
        self.lock = threading.Lock()
        self.broken = []
        self.counts = {}
        self.unsafe = {}
        self.accepted = {}
        self.positions = {}
        self.runner_ends = 0

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def break_one(self, text):
        with self.lock:
            self.broken.append(text)

    def stream_answered(self, request, status, body, whole):
        """A stream that may be resumed: whole or visibly cut, never wrong."""
        self.count("stream %s" % (status if whole else "cut"))
        if b"quarantined" in body:
            self.break_one("stream %s: kept from runners, but it ends none" % request)
        if status != 200:
            return
        text = body.decode(errors="replace")
        if whole and text != stream_text("q"):
            self.break_one("stream %s: complete, but not the whole answer: %r" % (request, text))
        if not whole and not stream_text("q").startswith(text):
            self.break_one("stream %s: cut, and not a part of the answer: %r" % (request, text))

    def deadly_answered(self, status, body, whole):
        """A request that ends its runners: never a success."""
        self.count("deadly %s" % (status if whole else "cut"))
        if whole and status == 200:
            self.break_one("deadly: answered as a success: %r" % body)

    def runner_ended(self):
        self.count("runner ended by a request")
        with self.lock:
            self.runner_ends += 1

    def check_runner_ends(self, excused):
        """Three ends, and three more sends, are what one request may cost."""
        most = 6 + excused
        if self.runner_ends > most:
            self.break_one("%d runners ended by one request, at most %d" % (self.runner_ends, most))

    def unsafe_answered(self, request, status, body):
        """A request that runs at most once; `status` is None if there was no whole answer."""
        self.count("unsafe %s" % status)
        with self.lock:
            self.unsafe[request] = status
        if b"quarantined" in body:
            self.break_one("unsafe %s: kept from runners, but it ends none" % request)
        if status == 200 and body.decode() != stream_text("q"):
            self.break_one("unsafe %s: a wrong answer" % request)

    def job_accepted(self, job, count):
        self.count("job accepted")
        with self.lock:
            self.accepted[job] = count
            self.positions[job] = {}

    def results_read(self, job, after, status, page):
        """One read of an accepted job's results: 404 never, and each position always the same."""
        if status == 404:
            self.break_one("job %s: 404 after it was accepted" % job)
        if status != 200:
            return
        if page["total"] != self.accepted[job]:
            self.break_one("job %s: total %s" % (job, page["total"]))
        with self.lock:
            known = self.positions[job]
            for position, result in enumerate(page["results"], after):
                before = known.setdefault(position, result)
                if before != result:
                    self.broken.append("job %s: position %d changed" % (job, position))

    def body_read(self, job, index, status, body):
        """One read of the request of an item that is never done: there, and the bytes that came."""
        self.count("body %s" % status)
        if status == 404:
            self.break_one("body of %s-%d: 404 after it was accepted" % (job, index))
        if status == 200 and body != self.sizes.item_body(index):
            self.break_one("body of %s-%d: other bytes" % (job, index))

    def next_position(self, job):
        """The first position of a job that has not been read."""
        with self.lock:
            position = 0
            while position in self.positions[job]:
                position += 1
            return position

    def check_results(self, failing_items_allowed):
        """After the faults: each item once, each completed text whole."""
        for job, count in self.accepted.items():
            results = self.positions[job]
            ids = sorted(result["id"] for result in results.values())
            if ids != sorted("%s-%d" % (job, index) for index in range(count)):
                self.break_one("job %s: items listed: %s" % (job, ids))
            for result in results.values():
                index = int(result["id"].rsplit("-", 1)[1])
                text = self.sizes.item_text(index)
                if result["state"] == "completed" and result["message"] != text:
                    self.break_one("item %s: not its whole output" % result["id"])
                if result["state"] != "completed" and not failing_items_allowed:
                    self.break_one("item %s: given up without a reason" % result["id"])

    def check_unsafe(self, runs):
        """`runs` counts the runs of a request at all runners; a lower bound, as runners restart."""
        for request, status in self.unsafe.items():
            if runs.get(request, 0) > 1:
                self.break_one("unsafe %s: ran %d times" % (request, runs[request]))
            if status in NOT_RUN_STATUSES and runs.get(request, 0) > 0:
                self.break_one("unsafe %s: answered %s and ran" % (request, status))
