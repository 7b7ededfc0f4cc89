"""Stand-in for a model runner, as PROTOCOL.md describes it.

Streams events with ids from 1, goes on behind `Last-Event-Id`, drops a request when its connection
closes, reads prompts before it answers them (with `--tokens-per-ms`), and appends a line to its run log for each request that it begins and ends."""

import argparse
import asyncio
import json
import time
import urllib.request

from http_io import response, serve

HEARTBEAT_SECONDS = 1.2


def event_text(request_id, number, size, version="1"):
    """Returns the data of one event, which names its request, its number and the software."""
    return ("%s#%d v%s " % (request_id, number, version)).ljust(size, ".")


class Runner:
    def __init__(self, options):
        self.options = options
        self.running = 0
        self.born = int(time.time() * 1000)
        self.log = open(options.run_log, "a", buffering=1)
        self.reading_turn = asyncio.Lock()
        self.cached_parts = set()

    def record(self, **fields):
        self.log.write(json.dumps({"at": round(time.time(), 3), "runner": self.options.id,
                                   **fields}) + "\n")

    async def handle(self, request, reader, writer):
        expected = request.header("Stoathold-Expect-Instance")
        instance = {"Stoathold-Instance": self.options.id}
        if expected and expected != self.options.id:
            return response(421, b"", instance)
        if request.method == "GET" and request.path == "/health":
            return response(200, b"", instance)
        if request.method == "GET" and request.path == "/api/report":
            report = {"stage": "both", "busy": False, "queued_count": 0, "born": self.born,
                      "running_count": self.running}
            return response(200, json.dumps(report).encode(), instance)
        request_id = request.header("Stoathold-Attempt-Id")
        if not request_id:
            return response(400, b"", {"Stoathold-Not-Run": "1"})
        if self.running >= self.options.slots:
            return response(503, b"", {"Stoathold-Not-Run": "1",
                                       "Stoathold-Attempt-Id": request_id})
        self.running += 1
        try:
            return await self.stream(request, request_id, reader, writer)
        finally:
            self.running -= 1

    async def stream(self, request, request_id, reader, writer):
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.record(request=request_id, begins_at=first, version=self.options.version)
        framing = "Connection: close" if self.options.unframed else "Transfer-Encoding: chunked"
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", framing,
                "Stoathold-Attempt-Id: " + request_id, "Stoathold-Response-Seal: seal-" + request_id,
                "Stoathold-Server-Load: %d,0,%d" % (self.running, self.options.slots)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        closed = asyncio.create_task(reader.read(1))
        if self.options.tokens_per_ms:
            await self.read_prompt(request)
        for number in range(first, self.options.events + 1):
            await asyncio.wait([closed], timeout=self.options.event_ms / 1000)
            if closed.done():
                closed.exception()  # A reset ends the connection as well.
                self.record(request=request_id, dropped_before=number)
                return None
            text = event_text(request_id, number, self.options.event_bytes, self.options.version)
            self.write(writer, ("id: %d\ndata: %s\n\n" % (number, text)).encode())
        closed.cancel()
        await asyncio.wait([closed])
        if not self.options.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(request=request_id, whole=True)
        return None if self.options.unframed else b""

    async def read_prompt(self, request):
        """Reads one prompt after the other, without the parts that are in memory."""
        async with self.reading_turn:
            parts = [part.split(":")
                     for part in request.header("Stoathold-Prompt-Prefix").split(",")]
            tokens = sum(int(size) for part, size in parts if part not in self.cached_parts)
            await asyncio.sleep(tokens / self.options.tokens_per_ms / 1000)
            self.cached_parts.update(part for part, _ in parts)

    def write(self, writer, event):
        if not self.options.unframed:
            event = b"%x\r\n%s\r\n" % (len(event), event)
        writer.write(event)

    async def send_heartbeats(self):
        entry = {"service": self.options.service, "address": self.options.listen,
                 "zone": self.options.zone, "version": self.options.version, "slots": self.options.slots,
                 "state": "ready", "cold_remaining_ms": 0, "born": self.born}
        await asyncio.sleep(self.options.first_heartbeat_ms / 1000)
        url = "http://%s/standin/heartbeat?id=%s" % (self.options.store, self.options.id)
        while True:
            call = urllib.request.Request(url, json.dumps(entry).encode(), method="POST")
            try:
                await asyncio.to_thread(lambda: urllib.request.urlopen(call, timeout=2).read())
            except OSError:
                pass
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("listen", "store", "id", "zone", "service", "run-log"):
        parser.add_argument("--" + name, required=True)
    for name in ("slots", "events", "event-ms", "event-bytes"):
        parser.add_argument("--" + name, type=int, required=True)
    parser.add_argument("--version", default="1")
    parser.add_argument("--first-heartbeat-ms", type=int, default=0)
    parser.add_argument("--tokens-per-ms", type=float, default=0)
    parser.add_argument("--unframed", action="store_true")
    options = parser.parse_args()
    runner = Runner(options)
    heartbeats = asyncio.create_task(runner.send_heartbeats())
    await serve(options.listen, runner.handle)
    heartbeats.cancel()


if __name__ == "__main__":
    asyncio.run(main())
