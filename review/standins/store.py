"""Stand-in for the platform's store, as PROTOCOL.md describes it: a log with keyed topics, groups
and the entries of runners. It has no faults of its own."""

import asyncio
import base64
import bisect
import json
import struct
import sys
import time

from http_io import response, serve

APPEND_SECONDS = 0.004
PARTITION_BYTES_PER_SECOND = 20e6
RECORD_BYTES = 262144
CALL_BYTES = 2097152
PAGE_RECORDS = 500
PAGE_BYTES = 1 << 20
HEARTBEAT_SECONDS = 1.2
LOST_HEARTBEATS = 3
PARTITIONS = 8


class Partition:
    """One partition of a keyed topic: every record, and the newest one of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.keys = []  # Sorted keys of `newest`.
        self.turn = asyncio.Lock()
        self.changed = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        for content in records:
            offset = len(self.records)
            self.records.append(content)
            key = content[1:1 + content[0]].decode("latin-1")
            value = content[1 + content[0]:]
            if value and key not in self.newest:
                bisect.insort(self.keys, key)
            if value:
                self.newest[key] = (offset, value)
            elif key in self.newest:
                del self.newest[key]
                self.keys.remove(key)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


class Group:
    """Deals the partitions of a group's topics evenly to its members."""

    def __init__(self, topics):
        self.parts = [(topic, part) for topic in topics for part in range(PARTITIONS)]
        self.generation = 0
        self.members = {}   # Name: [last join, time to live, generation it has heard]
        self.wanted = {}    # Part: member it is dealt to.
        self.held = {}      # Part: member that holds it.

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        for index, part in enumerate(self.parts):
            self.wanted[part] = names[index % len(names)] if names else None

    def drop(self, name):
        self.members.pop(name, None)
        self.held = {part: owner for part, owner in self.held.items() if owner != name}
        self.deal()

    def expire(self, now):
        for name, (seen, ttl, _) in list(self.members.items()):
            if now - seen > ttl:
                self.drop(name)

    def join(self, name, ttl, generation, now):
        self.expire(now)
        is_new = name not in self.members
        self.members[name] = [now, ttl, generation]
        if is_new:
            self.deal()
        if generation >= self.generation:
            for part, owner in list(self.held.items()):
                if owner == name and self.wanted[part] != name:
                    del self.held[part]
        for part, owner in self.wanted.items():
            if owner == name and part not in self.held:
                self.held[part] = name
        return [part for part in self.parts
                if self.held.get(part) == name and self.wanted[part] == name]


class Store:
    def __init__(self):
        self.partitions = {}
        self.groups = {}
        self.heartbeats = {}

    def partition(self, request):
        name = (request.query["topic"], int(request.query.get("part", 0)))
        return self.partitions.setdefault(name, Partition())

    async def append(self, request):
        records = []
        body = request.body
        while body:
            size = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        if len(request.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            return response(413, b"{}")
        partition = self.partition(request)
        async with partition.turn:
            await asyncio.sleep(APPEND_SECONDS + len(request.body) / PARTITION_BYTES_PER_SECOND)
            end = len(partition.records)
            if "at" in request.query and int(request.query["at"]) != end:
                return response(412, json.dumps({"end": end}).encode())
            first = partition.append(records)
        answer = {"offset": first, "end": len(partition.records)}
        return response(200, json.dumps(answer).encode())

    async def read(self, request):
        partition = self.partition(request)
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("max_kb", 1024)) * 1024
        until = time.monotonic() + min(30.0, int(request.query.get("wait_ms", 0)) / 1000)
        while start >= len(partition.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = [struct.pack(">QQ", len(partition.records), 0)]
        size = 0
        for content in partition.records[start:start + 20000]:
            size += 4 + len(content)
            if len(body) > 1 and size > limit:
                break
            body.append(struct.pack(">I", len(content)) + content)
        return response(200, b"".join(body), content_type="application/octet-stream")

    async def newest(self, request):
        partition = self.partition(request)
        items, size, more = [], 0, False
        first = bisect.bisect_right(partition.keys, request.query.get("after_rev", ""))
        for key in partition.keys[first:]:
            offset, value = partition.newest[key]
            size += len(key) + len(value)
            if items and (len(items) >= PAGE_RECORDS or size > PAGE_BYTES):
                more = True
                break
            items.append({"tls_key": key, "value": base64.b64encode(value).decode(),
                          "offset": offset})
        answer = {"items": items, "more": more, "end": len(partition.records)}
        return response(200, json.dumps(answer).encode())

    async def join(self, request):
        body = json.loads(request.body)
        group = self.groups.get(body["group"])
        if group is None:
            group = self.groups[body["group"]] = Group(body["topics"])
        parts = group.join(body["member"], body["ttl_ms"] / 1000, body["generation"],
                           time.monotonic())
        answer = {"generation": group.generation,
                  "parts": [[topic, part, 0] for topic, part in parts]}
        return response(200, json.dumps(answer).encode())

    async def leave(self, request):
        body = json.loads(request.body)
        if body["group"] in self.groups:
            self.groups[body["group"]].drop(body["member"])
        return response(200, b"{}")

    async def owners(self, request):
        group = self.groups.get(request.query["group"])
        rows = []
        if group is not None:
            rows = [[topic, part, owner, 0] for (topic, part), owner in group.held.items()]
        return response(200, json.dumps({"parts": rows}).encode())

    async def heartbeat(self, request):
        """A runner writes its entry; it changes when more than `sequence` does."""
        runner, entry = request.query["id"], json.loads(request.body)
        partition = self.partitions.setdefault(("keyed.servers", 0), Partition())
        known = self.heartbeats.get(runner)
        self.heartbeats[runner] = (time.monotonic(), entry)
        if known is None or known[1] != entry:
            key = runner.encode()
            partition.append([bytes([len(key)]) + key + json.dumps({**entry, "sequence": 1}).encode()])
        return response(200, b"{}")

    async def watch_heartbeats(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for runner, (seen, _) in list(self.heartbeats.items()):
                if now - seen > LOST_HEARTBEATS * HEARTBEAT_SECONDS:
                    del self.heartbeats[runner]
                    key = runner.encode()
                    self.partitions[("keyed.servers", 0)].append([bytes([len(key)]) + key])

    async def handle(self, request, _reader, _writer):
        calls = {"/api/log-append": self.append, "/api/log-read": self.read,
                 "/api/log-newest": self.newest, "/api/log-join": self.join,
                 "/api/log-leave": self.leave, "/api/log-owners": self.owners,
                 "/standin/heartbeat": self.heartbeat}
        call = calls.get(request.path)
        return await call(request) if call else response(404, b"{}")


async def main():
    store = Store()
    watch = asyncio.create_task(store.watch_heartbeats())
    await serve(sys.argv[1], store.handle)
    watch.cancel()


if __name__ == "__main__":
    asyncio.run(main())
