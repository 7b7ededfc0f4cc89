#!/usr/bin/env python3
"""Tests scripts/start_times.py on generated logs of two starting nodes and one running node."""

import contextlib
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]


def load_tool():
    spec = importlib.util.spec_from_file_location("start_times", ROOT / "scripts" / "start_times.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


TOOL = load_tool()


def line(second, node, name, **fields):
    return "%10.4f %s %s\n" % (second, node, json.dumps({"name": name, "node": node, **fields}))


def traffic(second, node, by_topic, refused):
    return line(second, node, "store_traffic", by_topic=by_topic, refused=refused)


DAY = [
    line(-10, "a", "node_started"),
    line(-9, "a", "start_progress", step="runner_list_known", seconds="1.0"),
    traffic(3, "c", "read:servers=99/1/99000000", "99"),
    line(5, "a", "node_started"),
    line(5, "b", "node_started"),
    line(5.5, "a", "start_progress", step="configuration_known", seconds="0.1"),
    line(5.5, "b", "start_progress", step="configuration_known", seconds="0.3"),
    line(7, "b", "start_progress", step="first_request_served", seconds="2.0"),
    traffic(8, "c", "read:servers=99/1/99000000", "99"),
    traffic(10, "a", "read:servers=3/200/30000,join:workers=4/10/20", "6"),
    traffic(10, "b", "read:servers=5/200/10000/2", "0"),
    traffic(15, "a", "read:servers=70/200/70000", "70"),
    "some other line { of the day }\n",
    "   6.0 a {\"broken\": \n",
]


def render(lines, *options):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
        log.write("".join(lines))
        log.flush()
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = TOOL.main([log.name, *options])
    return code, output.getvalue()


class StartTimesTest(unittest.TestCase):
    def test_steps_of_the_selected_starts(self):
        code, text = render(DAY, "--since", "0")
        self.assertEqual(code, 0)
        self.assertIn("2 starts\n", text)
        self.assertIn("| configuration_known | 2 | 0.100 | 0.300 | 0.300 | 0.300 |", text)
        self.assertIn("| first_request_served | 1 | 2.000 | 2.000 | 2.000 | 2.000 |", text)
        self.assertNotIn("runner_list_known", text)

    def test_calls_in_the_first_seconds_of_starting_nodes(self):
        _, text = render(DAY, "--since", "0")
        self.assertIn("| read:servers | 4.0 | 20.0 | 1.0 |", text)
        self.assertIn("| join:workers | 2.0 | 0.0 | 0.0 |", text)
        self.assertIn("refused by the store: 3.0 calls a start", text)

    def test_longer_window_includes_more_lines(self):
        _, text = render(DAY, "--since", "0", "--within", "10")
        self.assertIn("| read:servers | 39.0 | 55.0 | 1.0 |", text)

    def test_plain_logs_and_all_starts(self):
        plain = [text[text.index("{"):] for text in DAY if "{\"name\"" in text]
        _, text = render(plain)
        self.assertIn("3 starts\n", text)
        self.assertIn("| runner_list_known | 1 | 1.000 |", text)

    def test_logs_without_a_start_are_reported(self):
        code, text = render([DAY[2]])
        self.assertEqual(code, 1)
        self.assertEqual(text, "no start of a node in these logs\n")


if __name__ == "__main__":
    unittest.main()
