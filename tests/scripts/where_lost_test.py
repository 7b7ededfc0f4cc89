#!/usr/bin/env python3
"""Tests scripts/where_lost.py on a small generated day; the reported losses must add up."""

import contextlib
import importlib.util
import io
import json
import pathlib
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]


def load_tool():
    spec = importlib.util.spec_from_file_location("where_lost", ROOT / "scripts" / "where_lost.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


TOOL = load_tool()


def line(second, node, name, **fields):
    return "%10.4f %s %s\n" % (second, node, json.dumps({"name": name, **fields}))


def served(second, request, in_time, answer_ms, duration_ms):
    return line(second, "node-1", "request_served", request=request, outcome="served", in_time=in_time,
                answer_ms=str(answer_ms), duration_ms=str(duration_ms))


def sent(second, request, age_ms):
    return line(second, "node-1", "request_sent", request=request, age_ms=str(age_ms))


def make_day():
    """Returns the log of one request per cause, one in time, and two interrupted batch runs."""
    lines = ["a line of the bench itself\n", line(-5, "node-1", "node_started", zone="zone-a")]
    lines += [sent(1, "fine", 0), served(1.1, "fine", "yes", 50, 100)]
    lines += [sent(2.9, "waited", 800), served(3, "waited", "no", 900, 1000)]
    lines += [sent(2.1, "slow", 10), served(3, "slow", "no", 900, 1000)]
    lines += [sent(4, "dark", 0),
              line(4.1, "node-1", "attempt_failed", request="dark", result="unreachable"),
              served(5, "dark", "no", 900, 1000)]
    lines += [sent(4, "full", 0), line(4.1, "node-1", "attempt_failed", request="full", result="not_run"),
              served(5, "full", "no", 900, 1000)]
    lines += [line(6, "node-1", "request_unanswered", request="refused", reason="no_runner"),
              line(6, "node-1", "request_ended", request="refused", outcome="refused", in_time="no",
                   answer_ms="none", duration_ms="1500")]
    lines += [line(7, "node-1", "request_ended", request="left", outcome="caller_gone", in_time="no",
                   answer_ms="none", duration_ms="200")]
    # Nodes limit their log volume: the entry for this request's dispatch is missing.
    lines += [served(9, "unknown", "no", 900, 1000)]
    for item in ("item-1", "item-2"):
        lines.append(line(8, "node-1", "item_attempt_failed", item=item, result="yielded"))
    return lines


REPORT = {
    "G": 0.7, "parts": [["whole day", 0.6, 0.75], ["worst windows", 0.4, 0.75]],
    "prices": [["calls", 1000, 0.04], ["nothing", 0, 0.0]],
    "classes": [], "windows": [], "zones": [],
}


class WhereLostTest(unittest.TestCase):
    def test_losses_add_up_to_the_missing_worth(self):
        rows = dict(TOOL.loss_by_part(REPORT))
        self.assertAlmostEqual(sum(rows.values()), 0.3)
        self.assertAlmostEqual(rows["part: whole day"], 0.15)
        self.assertAlmostEqual(rows[TOOL.UNEXPLAINED], 0.01)
        self.assertNotIn("price: nothing", rows)

    def test_each_late_request_has_one_reason(self):
        late = TOOL.DayLog(TOOL.read_log(make_day())).late_by_reason()
        reasons = {identity: key for key, ids in late.items() for identity in ids}
        self.assertEqual({identity: key[0] for identity, key in reasons.items()}, {
            "waited": "no slot free",
            "slow": "late at the runner (its queue, prompt or step time)",
            "dark": "runner unreachable",
            "full": "runner full",
            "refused": "refused: no_runner",
            "left": "given up by its caller",
            "unknown": TOOL.UNEXPLAINED,
        })
        self.assertEqual(reasons["dark"][1:], ("zone-a", 4))

    def test_interrupted_batch_runs_are_counted_by_result(self):
        batch = TOOL.DayLog(TOOL.read_log(make_day())).batch
        self.assertEqual(batch, {("batch run yielded", "zone-a", 8): ["item-1", "item-2"]})

    def test_report_of_a_day_is_printed(self):
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "report.json"
            report.write_text(json.dumps(REPORT))
            log = pathlib.Path(folder) / "day.log"
            log.write_text("".join(make_day()))
            output = io.StringIO()
            sys.argv = ["where_lost.py", "--report", str(report), "--log", str(log)]
            with contextlib.redirect_stdout(output):
                self.assertEqual(TOOL.main(), 0)
        self.assertIn("| no slot free | 1 | 0.143 |", output.getvalue())
        self.assertIn("| batch run yielded | zone-a | 8 | 2 | item-1 item-2 |", output.getvalue())


if __name__ == "__main__":
    unittest.main()
