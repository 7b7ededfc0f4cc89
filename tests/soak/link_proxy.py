"""TCP proxies on loopback that can delay, rate-limit, reset or black-hole their traffic."""

import asyncio
import threading

COPY_BYTES = 65536
# Copy size of a rate-limited direction: its connections share the rate in units of this size.
RATE_LIMITED_COPY_BYTES = 8192
POLL_SECONDS = 0.02


class Direction:
    """One direction of a link; its connections share the rate limit and the `bytes` counter.

    A cut direction drops all bytes: the peer sees silence, as behind a broken network route.
    """

    def __init__(self):
        self.bytes_per_second = None
        self.bytes = 0
        self.cut = False
        self.free_at = 0.0

    def chunk_bytes(self):
        return RATE_LIMITED_COPY_BYTES if self.bytes_per_second else COPY_BYTES

    async def pace(self, count):
        """Counts `count` bytes and waits until the rate limit lets them pass."""
        self.bytes += count
        if not self.bytes_per_second:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + count / self.bytes_per_second
        await asyncio.sleep(self.free_at - now)


class Link:
    """One proxy. Faults may be set from any thread; the rest runs on the event loop's thread.

    A silenced link drops bytes in both directions and leaves new connections hanging.
    """

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.address = None
        self.delay_seconds = 0.0
        self.forward = Direction()
        self.back = Direction()
        self.writers = set()

    def limit_rate(self, bytes_per_second):
        """Limits the rate of each direction; None removes the limit."""
        self.forward.bytes_per_second = bytes_per_second
        self.back.bytes_per_second = bytes_per_second

    def heal(self):
        """Clears all faults; a rate limit is not a fault and stays."""
        self.delay_seconds = 0.0
        self.forward.cut = False
        self.back.cut = False

    def silence(self):
        self.forward.cut = True
        self.back.cut = True

    async def serve(self, near_reader, near_writer):
        while self.forward.cut and self.back.cut:
            await asyncio.sleep(POLL_SECONDS)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            near_writer.transport.abort()
            return
        pair = (near_writer, far_writer)
        self.writers.update(pair)
        await asyncio.gather(
            self.copy(near_reader, far_writer, self.forward),
            self.copy(far_reader, near_writer, self.back))
        for writer in pair:
            writer.transport.abort()
            self.writers.discard(writer)

    async def copy(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(direction.chunk_bytes())
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if direction.cut:
                    # Dropped bytes are lost, so the stream cannot continue after the cut heals.
                    while direction.cut:
                        await asyncio.sleep(POLL_SECONDS)
                    writer.transport.abort()
                    return
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                if writer.is_closing():
                    # The receiver has gone, so nothing more is sent.
                    return
                await direction.pace(len(data))
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            writer.transport.abort()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class LinkLoop:
    """Runs the event loop of all links on a daemon thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, target):
        """Starts a proxy in front of `ip:port` and returns it."""
        link = Link(target)

        async def listen():
            server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
            link.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

        asyncio.run_coroutine_threadsafe(listen(), self.loop).result(10)
        return link

    def reset(self, link):
        self.loop.call_soon_threadsafe(link.reset_all)
