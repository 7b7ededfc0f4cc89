#!/usr/bin/env python3
"""Measures the effect of batch load on online tail latency, and the batch throughput, in an open loop.

Runs each seed with and without batch jobs on the same online arrivals, one run after the other, and
reports the ratios. Scenarios: `mfs` (3 zones, 12 runners, a job about every 8 s) and `tallowbend`
(4 zones, 18 runners, a job about every 9 s).
"""

import argparse
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from fleet import BUILD, Fleet, call, call_json

SCENARIOS = {
    "mfs": {"zones": 3, "nodes": 3, "engines": 12, "heap_seconds": 8.0, "heap_items": 300,
            "rate": 30, "review_rate": 0.5, "burst_size": 40},
    "tallowbend": {"zones": 4, "nodes": 4, "engines": 18, "heap_seconds": 9.0, "heap_items": 500,
                   "rate": 40, "review_rate": 1.0, "burst_size": 60},
}
ENGINE = """\
step_base_us: 20000
step_per_sequence_us: 600
prefill_per_token_us: 50
prefill_chunk: 512
max_sequences: 16
"""
ITEM_TOKENS = 48


def submit_batches(fleet, scenario, seed, seconds, stop):
    """Submits a batch job about every `heap_seconds`, rotating over the nodes."""
    randomness = random.Random(seed)
    began, number = time.monotonic(), 0
    while not stop.is_set() and time.monotonic() - began < seconds:
        items = [{"prompt": "note %d/%d/%d " % (seed, number, i) + "x" * 200,
                  "max_tokens": ITEM_TOKENS} for i in range(scenario["heap_items"])]
        call_json(fleet.node_http[number % len(fleet.node_http)], "POST", "/v1/batches",
                  {"service": "assistant", "priority_class": "drafts", "items": items},
                  {"Idempotency-Key": "heap-%d-%d" % (seed, number)})
        number += 1
        stop.wait(scenario["heap_seconds"] * randomness.uniform(0.9, 1.1))


def counter(fleet, name):
    """Returns the sum of a counter over all nodes."""
    total = 0.0
    for address in fleet.node_http:
        for line in call(address, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith(name + " "):
                total += float(line.rsplit(" ", 1)[1])
    return total


def run_once(scenario, seed, seconds, with_batch):
    with tempfile.TemporaryDirectory() as directory:
        parameters = pathlib.Path(directory) / "engine.yaml"
        parameters.write_text(ENGINE)
        with Fleet(directory, nodes=scenario["nodes"], engines=scenario["engines"],
                   zones=scenario["zones"], engine_parameters=parameters) as fleet:
            fleet.start()
            fleet.apply_service()
            time.sleep(3)
            stop = threading.Event()
            batch_submitter = threading.Thread(target=submit_batches,
                                     args=(fleet, scenario, seed, seconds, stop))
            if with_batch:
                batch_submitter.start()
            names = ("finished", "started", "yielded")
            before = {n: counter(fleet, "stoathold_batch_%s_total" % n) for n in names}
            result = subprocess.run(
                [str(BUILD / "bench" / "stoathold-bench"), "arrivals", "--targets",
                 ",".join(fleet.node_http), "--seed", str(seed), "--rate", str(scenario["rate"]),
                 "--review-rate", str(scenario["review_rate"]), "--seconds", str(seconds),
                 "--burst-size", str(scenario["burst_size"])],
                capture_output=True, text=True, timeout=seconds + 120, check=True)
            after = {n: counter(fleet, "stoathold_batch_%s_total" % n) for n in names}
            stop.set()
            if with_batch:
                batch_submitter.join()
            outcome = json.loads(result.stdout)
            outcome["batch"] = {n: after[n] - before[n] for n in names}
            return outcome


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="mfs")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=int, default=24)
    parser.add_argument("--output", default="")
    arguments = parser.parse_args()
    scenario = SCENARIOS[arguments.scenario]
    rows = []
    for seed in range(1, arguments.seeds + 1):
        pair = {}
        for name, with_batch in (("alone", False), ("with_batch", True)):
            pair[name] = run_once(scenario, seed, arguments.seconds, with_batch)
            print("experiment: %s seed %d %s: first token p99 %.0f ms, between tokens p99 %.0f ms, "
                  "%d items" % (arguments.scenario, seed, name,
                                pair[name]["first_token_ms"]["p99"],
                                pair[name]["between_tokens_ms"]["p99"],
                                pair[name]["batch"]["finished"]), file=sys.stderr, flush=True)
        rows.append(pair)
    print("| figure | alone, median | with batch, median | ratio, median (least to most) |")
    print("|---|---|---|---|")
    for key, title in (("first_token_ms", "first token"), ("between_tokens_ms", "between tokens")):
        for part in ("p50", "p95", "p99"):
            alone = [row["alone"][key][part] for row in rows]
            batch = [row["with_batch"][key][part] for row in rows]
            ratios = [b / a for a, b in zip(alone, batch)]
            print("| %s %s, ms | %.1f | %.1f | %.2f (%.2f to %.2f) |" % (
                title, part, statistics.median(alone), statistics.median(batch),
                statistics.median(ratios), min(ratios), max(ratios)))
    items = [row["with_batch"]["batch"]["finished"] / arguments.seconds for row in rows]
    yielded = [row["with_batch"]["batch"]["yielded"] for row in rows]
    share = [[row[name]["short_within_goal"] / max(row[name]["first_token_ms"]["count"], 1)
              for row in rows] for name in ("alone", "with_batch")]
    print("| within 490 ms and 46 ms, share | %.3f | %.3f | |" %
          tuple(statistics.median(values) for values in share))
    print("| batch items a second | 0 | %.1f (%.1f to %.1f) | |" %
          (statistics.median(items), min(items), max(items)))
    print("| streams paused for online work | 0 | %.0f | |" % statistics.median(yielded))
    lost = [sum(row[name]["refused"] + row[name]["broken"] for row in rows)
            for name in ("alone", "with_batch")]
    print("| refused or broken, all seeds | %d | %d | |" % tuple(lost))
    if arguments.output:
        pathlib.Path(arguments.output).write_text(json.dumps(rows, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
