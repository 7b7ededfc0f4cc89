#!/usr/bin/env python3
"""Runs this project's days on a deployment with the users' bench and prints a table of the results.

Usage: play_days.py --bench PROGRAM --site SITE [--jobs N] [NAME ...]
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys

DAYS = pathlib.Path(__file__).resolve().parents[2] / "deploy" / "days"
ROW = re.compile(r"^own-\S+\s+\S+\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+(.*)$", re.M)
PROBLEM_PREFIXES = ("rules broken", "fault:", "ended by itself")


def run_day(bench, site, day):
    result = subprocess.run([bench, "run", site, str(day), "--why", "own day " + day.stem],
                            capture_output=True, text=True)
    text = result.stdout + result.stderr
    row = ROW.search(text)
    problems = [line.strip() for line in text.splitlines() if line.startswith(PROBLEM_PREFIXES)]
    if "is not open" in text:  # The deployment does not support the day's faults.
        return day.stem, "not open here", "-", "-", "-", []
    if row is None:
        problems.append("not played: " + text.strip().splitlines()[-1][:150] if text.strip() else "no output")
    worth, served, refused, failed = row.groups()[1:5] if row else ("-",) * 4
    return day.stem, worth, served, refused, failed, problems


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    days = sorted(day for day in DAYS.glob("*.toml") if not options.names or day.stem in options.names)
    broken = 0
    print("| day | worth | served | refused | failed | wrong |")
    print("|---|---|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for name, worth, served, refused, failed, problems in pool.map(
                lambda day: run_day(options.bench, options.site, day), days):
            broken += bool(problems)
            print("| %s | %s | %s | %s | %s | %s |" % (name, worth, served, refused, failed,
                                                       "; ".join(problems) or "-"), flush=True)
    print("%d days, %d with something wrong" % (len(days), broken))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
