#!/usr/bin/env python3
"""Compares the relay overhead of a node with that of a plain HTTP pass-through.

Prints a Markdown table with tokens per second of CPU time, as paired ratios, and the time to the
first token at low load. The rounds alternate between both, so that drift of the machine's speed
affects them equally.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile

from fleet import BUILD, Fleet, call, wait_for

BENCH = BUILD / "bench" / "stoathold-bench"


def cpu_seconds(process):
    """Returns the CPU seconds that a process has used."""
    with open("/proc/%d/stat" % process.handle.pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def load(target, streams, requests, pause_us=0):
    command = [str(BENCH), "streams", "--target", target, "--streams", str(streams),
               "--requests", str(requests), "--pause-us", str(pause_us)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=300, check=True)
    return json.loads(result.stdout)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--streams", type=int, default=32)
    parser.add_argument("--requests", type=int, default=640)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, \
            Fleet(directory, nodes=1, engines=2, zones=1) as fleet:
        source, pass_through = fleet.engines
        fleet.engines = []
        fleet.start_emulators()
        fleet.engines = [source]
        fleet.start_process("source", [BENCH, "token-source", "--listen", source, "--tokens", 200])
        wait_for(lambda: call(source, "GET", "/v1/load")[0] == 200, "the token source")
        fleet.publish_machines()
        relay = fleet.start_process("pass", [BENCH, "pass-through", "--listen", pass_through,
                                             "--target", source])
        node = fleet.start_node(0)
        fleet.wait_ready(0)
        fleet.apply_service()
        service = fleet.control("get", "Service", "assistant", "-o", "json")
        assert service.returncode == 0
        status, _, _ = call(fleet.node_http[0], "PUT", "/v1/resources/Service/assistant",
                            {"version": json.loads(service.stdout)["version"],
                             "spec": {"model": "m", "runner_slots": 4096}})
        assert status == 200
        rows, ratios = {"node": [], "pass-through": []}, []
        for number in range(arguments.rounds):
            pair = {}
            for name, process, target in (("node", node, fleet.node_http[0]),
                                          ("pass-through", relay, pass_through)):
                before = cpu_seconds(process)
                result = load(target, arguments.streams, arguments.requests)
                pair[name] = result["tokens"] / (cpu_seconds(process) - before)
                rows[name].append(pair[name])
            ratios.append(pair["node"] / pair["pass-through"])
            print("relay: round %d of %d, ratio %.2f" % (number + 1, arguments.rounds,
                                                         ratios[-1]), file=sys.stderr, flush=True)
        low_load = {}
        for name, target in (("node", fleet.node_http[0]), ("pass-through", pass_through)):
            low_load[name] = load(target, 4, 400, 5000)
        added = {part: low_load["node"][part] - low_load["pass-through"][part]
                 for part in ("first_token_us_p50", "first_token_us_p99")}
        print("| figure | node | pass-through | ratio or difference |")
        print("|---|---|---|---|")
        print("| tokens per second of processor time, median of %d | %.0f | %.0f | %.2f "
              "(%.2f to %.2f) |" % (arguments.rounds, statistics.median(rows["node"]),
                                    statistics.median(rows["pass-through"]),
                                    statistics.median(ratios), min(ratios), max(ratios)))
        for part in ("p50", "p99"):
            key = "first_token_us_" + part
            print("| first token, %s, low load, ms | %.3f | %.3f | %+.3f |" %
                  (part, low_load["node"][key] / 1e3, low_load["pass-through"][key] / 1e3,
                   added[key] / 1e3))
    return 0


if __name__ == "__main__":
    sys.exit(main())
