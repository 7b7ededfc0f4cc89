"""A caller that reads a stream and takes it up at other nodes when its connection breaks."""

import http.client
import threading
import time

from platform_fleet import EVENTS, HOST

WAIT_SECONDS = 10.0


class Stream:
    """One stream of a caller, read in a thread; it may continue at another node."""

    def __init__(self, platform, name):
        self.platform = platform
        self.name = name
        self.tries = 0
        self.first_attempt = None  # Attempt that delivered the first event.
        self.events = {}  # Data by event id.
        self.repeated = False  # An event was delivered twice.
        self.complete = False
        self.status = None  # Of the last response; None if there was none.
        self.wait = None
        self.thread = None

    def start(self, node, resumes=True):
        self.thread = threading.Thread(target=self.read, args=(node, resumes), daemon=True)
        self.thread.start()
        return self

    def join(self):
        self.thread.join(WAIT_SECONDS)
        return self

    def headers(self, attempt, resumes):
        headers = {"Host": HOST, "Stoathold-Attempt-Id": attempt, "Stoathold-Deadline-Ms": "9000"}
        if self.events:
            headers["Last-Event-Id"] = str(max(self.events))
            if resumes:
                headers["Resumes"] = self.first_attempt
        return headers

    def read(self, node, resumes):
        """Sends the request, or takes the stream up after the last event, and reads the answer."""
        self.tries += 1
        attempt = "%s-%d" % (self.name, self.tries)
        host, port = self.platform.nodes[node].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=WAIT_SECONDS)
        begin = time.monotonic()
        self.status = None
        try:
            connection.request("POST", "/ask/1", b"q", self.headers(attempt, resumes))
            response = connection.getresponse()
            self.status = response.status
            if response.status == 200:
                self.read_events(response, attempt)
                self.complete = len(self.events) == EVENTS
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.wait = time.monotonic() - begin
            connection.close()

    def read_events(self, response, attempt):
        event = None
        while True:
            line = response.readline()
            if not line:
                return  # Also at the end of the connection in the middle of the stream.
            text = line.decode().rstrip("\n")
            if text.startswith("id: "):
                event = int(text[4:])
            elif text.startswith("data: "):
                self.repeated = self.repeated or event in self.events
                self.first_attempt = self.first_attempt or attempt
                self.events[event] = text[6:]

    def versions(self):
        """Returns the software versions whose text the caller holds."""
        return {data.split("|")[0] for data in self.events.values()}
