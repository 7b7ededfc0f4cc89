"""TCP proxies on loopback whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import threading

COPY_BYTES = 65536
LOOK_SECONDS = 0.02


class Link:
    """One proxy. Faults are set from any thread; the event loop's thread does all the rest.

    A cut direction swallows bytes: the peer sees silence, as behind a broken route. A silenced link
    swallows both ways and lets new connections hang.
    """

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.address = None
        self.delay_seconds = 0.0
        self.cut_forward = False
        self.cut_back = False
        self.writers = set()

    def heal(self):
        self.delay_seconds = 0.0
        self.cut_forward = False
        self.cut_back = False

    def silence(self):
        self.cut_forward = True
        self.cut_back = True

    async def serve(self, near_reader, near_writer):
        while self.cut_forward and self.cut_back:
            await asyncio.sleep(LOOK_SECONDS)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            near_writer.transport.abort()
            return
        pair = (near_writer, far_writer)
        self.writers.update(pair)
        await asyncio.gather(
            self.copy(near_reader, far_writer, lambda: self.cut_forward),
            self.copy(far_reader, near_writer, lambda: self.cut_back))
        for writer in pair:
            writer.transport.abort()
            self.writers.discard(writer)

    async def copy(self, reader, writer, is_cut):
        try:
            while True:
                data = await reader.read(COPY_BYTES)
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if is_cut():
                    # What a cut swallows is gone: the stream cannot go on after it heals.
                    while is_cut():
                        await asyncio.sleep(LOOK_SECONDS)
                    writer.transport.abort()
                    return
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            writer.transport.abort()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


class LinkLoop:
    """The event loop of all links, in a thread of its own that ends with the process."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def open(self, target):
        """Starts a proxy before `ip:port` and returns it."""
        link = Link(target)

        async def listen():
            server = await asyncio.start_server(link.serve, "127.0.0.1", 0)
            link.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

        asyncio.run_coroutine_threadsafe(listen(), self.loop).result(10)
        return link

    def reset(self, link):
        self.loop.call_soon_threadsafe(link.reset_all)
