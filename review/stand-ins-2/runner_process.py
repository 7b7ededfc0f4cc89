"""A runner as a process of its own, so that a case can kill it. Writes what it made to its output.

Arguments: address, id, events of an answer, milliseconds between events, milliseconds until the
first event (the prompt is read), `length` or `no-length`.
Its entry in the store is written by the case that starts it.
"""

import asyncio
import sys

from runner import Runner


class Unregistered:
    """Takes the place of the store, to which this process has no access."""

    def put(self, topic, key, value):
        pass


async def main():
    address, identity, events, pause_ms, prefill_ms, length = sys.argv[1:7]
    runner = Runner(Unregistered(), identity, "chat", "z1", address,
                    plan=lambda request: (int(events), int(pause_ms) / 1000),
                    has_length=lambda request: length == "length",
                    prefill_seconds=int(prefill_ms) / 1000)
    await runner.start()
    print("ready", flush=True)
    reported = {}
    while True:
        await asyncio.sleep(0.01)
        for number, run in enumerate(runner.runs):
            state = (run["made"], run["end"])
            if reported.get(number) != state:
                reported[number] = state
                print(run["id"], run["after"], run["made"], run["end"], flush=True)


asyncio.run(main())
