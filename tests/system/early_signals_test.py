"""Tests signals that arrive before a process's event loop runs.

Guards against a SIGTERM or SIGHUP shortly after the start killing the process (exit status -15 or
-1, nothing logged) because handlers are installed only once most of the process is constructed.
Soak seeds 5007, 9107 and 9202 showed it. The settings file is a named pipe, which blocks the
process in its start for as long as a test needs. Signals before `main`, while the loader runs, cannot be
blocked by the program and are not tested.
"""

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from platform_fleet import Platform  # noqa: E402
from fleet import BUILD, free_ports  # noqa: E402

STARTS = 30
BLOCKED_SIGNALS = [signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
END_SECONDS = 60


class EarlySignalsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.pipe = self.directory / "pipe.yaml"
        os.mkfifo(self.pipe)
        self.platform = Platform(directory.name, 1, 1)
        self.addCleanup(self.platform.stop)
        self.platform.node_processes[0].kill()
        self.log = self.directory / "early.log"

    def start_process(self, arguments, **options):
        with open(self.log, "ab") as log:
            handle = subprocess.Popen([str(item) for item in arguments], stdout=log, stderr=log,
                                      **options)
        self.addCleanup(handle.wait)
        self.addCleanup(handle.kill)
        return handle

    def start_without_settings(self, program, **options):
        """Starts a process that blocks on its settings; returns it and the pipe's write end."""
        handle = self.start_process([BUILD / "apps" / program, "--settings", self.pipe], **options)
        return handle, open(self.pipe, "w", encoding="utf-8")

    def finish_start(self, writer, text):
        # A later reload reads an ordinary file at the same path.
        ordinary = self.directory / "ordinary.yaml"
        ordinary.write_text(text)
        held = self.directory / "held.yaml"
        self.pipe.rename(held)
        ordinary.rename(self.pipe)
        writer.write(text)
        writer.close()

    def platform_settings(self):
        """Returns settings of a node whose graceful shutdown takes half a second."""
        settings = json.loads(self.platform.settings[0].read_text())
        settings["bounds"]["grace_s"] = 1
        return json.dumps(settings)

    def node_settings(self):
        ports = free_ports(2)
        return ("name: n1\nzone: z1\nlisten: 127.0.0.1:%d\npeer_listen: 127.0.0.1:%d\n"
                "log_service: 127.0.0.1:1\nmachine_list: 127.0.0.1:1\ndrain_seconds: 1\n" % tuple(ports))

    def assert_ends_as_planned(self, handle, line):
        self.assertEqual(handle.wait(END_SECONDS), 0, self.log.read_text())
        self.assertIn(line, self.log.read_text())

    def test_sigterm_before_the_settings_are_read_stops_the_node(self):
        handle, writer = self.start_without_settings("stoathold")
        handle.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        self.assertIsNone(handle.poll())
        self.finish_start(writer, self.platform_settings())
        self.assert_ends_as_planned(handle, "node_stopped")

    def test_sighup_before_the_settings_are_read_does_not_end_the_node(self):
        handle, writer = self.start_without_settings("stoathold")
        handle.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        self.assertIsNone(handle.poll())
        self.finish_start(writer, self.platform_settings())
        handle.send_signal(signal.SIGTERM)
        self.assert_ends_as_planned(handle, "node_stopped")
        self.assertIn("settings_reloaded", self.log.read_text())

    def test_signals_blocked_by_the_parent_process_are_handled(self):
        handle, writer = self.start_without_settings(
            "stoathold",
            preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS))
        handle.send_signal(signal.SIGTERM)
        self.finish_start(writer, self.platform_settings())
        self.assert_ends_as_planned(handle, "node_stopped")

    def test_stoathold_node_handles_early_signals(self):
        for early in (signal.SIGTERM, signal.SIGHUP):
            with self.subTest(early.name):
                handle, writer = self.start_without_settings("stoathold-node")
                handle.send_signal(early)
                time.sleep(0.05)
                self.assertIsNone(handle.poll())
                self.finish_start(writer, self.node_settings())
                if early != signal.SIGTERM:
                    handle.send_signal(signal.SIGTERM)
                self.assert_ends_as_planned(handle, "node_stopped")
                self.pipe.unlink()
                os.mkfifo(self.pipe)

    def test_closed_log_pipe_does_not_end_the_node(self):
        reader, writer = os.pipe()
        handle = subprocess.Popen(
            [str(BUILD / "apps/stoathold"), "--settings", str(self.platform.settings[0])],
            stdout=writer, stderr=subprocess.DEVNULL)
        self.addCleanup(handle.wait)
        self.addCleanup(handle.kill)
        os.close(writer)
        os.close(reader)
        self.platform.configure(1)
        self.platform.wait_ready()
        handle.send_signal(signal.SIGTERM)
        self.assertEqual(handle.wait(END_SECONDS), 0)

    def test_signals_at_random_times_never_kill_the_node(self):
        """Sends bursts of signals at random times, beginning with the first step of `main`."""
        moments = random.Random(1)
        for number in range(STARTS):
            handle, writer = self.start_without_settings("stoathold")
            self.finish_start(writer, self.platform_settings())
            for _ in range(moments.randrange(4)):
                time.sleep(moments.choice([0, 0.0005, 0.002, 0.005, 0.02]))
                handle.send_signal(signal.SIGHUP)
            time.sleep(moments.choice([0, 0.0005, 0.002, 0.005, 0.02]))
            handle.send_signal(signal.SIGTERM)
            while handle.poll() is None:
                handle.send_signal(signal.SIGHUP)
                time.sleep(moments.choice([0.0005, 0.05]))
            self.assertEqual(handle.returncode, 0, "start %d: %s" % (number, self.log.read_text()))
            self.pipe.unlink()
            os.mkfifo(self.pipe)


if __name__ == "__main__":
    unittest.main()
