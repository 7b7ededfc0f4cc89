"""Tests that a stream whose connection breaks goes on only at runners of the software version that
began it, whoever takes it up: this node inside one answer, or the caller at another node.

Guards against streams that join the texts of two software versions of a service during a replacement.
"""

import tempfile
import time
import unittest

from platform_fleet import EVENTS, Platform
from resuming_stream import Stream
from fleet import wait_for

OLD, NEW = "v1", "v1.1"
EVENT_INTERVAL_MS = 200
STREAMS = 12
ITEMS = 6
REFUSAL_SECONDS = 1.0
SHORT_TIMEOUT_MS = 3000
# Time after which a node knows which versions can have begun a stream of the shorter timeout.
HISTORY_SECONDS = 12.0
# Time after its start from which on a node counts as in touch with the others.
CONTACT_SECONDS = 3.0


class StreamVersionsFixture(unittest.TestCase):
    def start_platform(self, versions, nodes=4, listed=None, stream_timeout_ms=20000):
        """Starts one runner of each software version; lists those of `listed`, by default all."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        names = ["r%d" % index for index in range(len(versions))]
        options = {name: ["--gap-ms", EVENT_INTERVAL_MS, "--software-version", version]
                   for name, version in zip(names, versions)}
        self.platform = Platform(directory.name, nodes, len(versions), runner_options=options,
                                 node_zones=["z%d" % (index % 2 + 1) for index in range(nodes)])
        self.addCleanup(self.platform.stop)
        self.platform.versions.update(zip(names, versions))
        for name, version in zip(names, versions):
            if listed is None or version in listed:
                self.platform.register_runner(name)
        self.platform.stream_timeout_ms = stream_timeout_ms
        self.platform.configure(1)
        self.platform.wait_ready()
        time.sleep(CONTACT_SECONDS)

    def start_streams(self, node, count=STREAMS):
        streams = [Stream(self.platform, "s%d" % index).start(node) for index in range(count)]
        wait_for(lambda: all(stream.events for stream in streams), "first events")
        return streams

    def check_versions(self, streams):
        mixed = [stream.name for stream in streams if len(stream.versions()) > 1]
        self.assertEqual(mixed, [], "streams with events of two software versions")

    def kill_runners(self, version):
        for name, process in zip(self.platform.runners, self.platform.runner_processes):
            if self.platform.versions[name] == version:
                process.kill()
                self.platform.deregister_runner(name)

    def take_up_at(self, node, streams):
        for stream in streams:
            stream.join().start(node)
        for stream in streams:
            stream.join()
        self.check_versions(streams)

    def restart_all_nodes(self):
        for process in self.platform.node_processes:
            process.kill()
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()

    def resume_after_version_left(self, waits_seconds):
        """Restarts all nodes right after a version has left; takes its streams up after each wait."""
        self.start_platform([OLD, OLD, NEW, NEW], stream_timeout_ms=SHORT_TIMEOUT_MS)
        streams = self.start_streams(0)
        self.kill_runners(OLD)
        self.restart_all_nodes()
        for wait_seconds in waits_seconds:
            time.sleep(wait_seconds)
            self.take_up_at(1, [stream for stream in streams if not stream.complete])


class StreamVersionsTest(StreamVersionsFixture):
    def test_caller_resumes_at_version_that_began_its_stream(self):
        self.start_platform([OLD, OLD, NEW, NEW])
        streams = self.start_streams(0)
        self.assertEqual(set().union(*(stream.versions() for stream in streams)), {OLD, NEW})
        self.platform.node_processes[0].kill()
        for stream in streams:
            stream.join()
            stream.start(1 + int(stream.name[1:]) % 3)
        for stream in streams:
            stream.join()
        self.check_versions(streams)
        served = [stream for stream in streams if stream.complete]
        self.assertGreaterEqual(2 * len(served), STREAMS, "share of streams that went on")

    def test_third_try_of_caller_resumes_at_version_that_began_its_stream(self):
        self.start_platform([OLD, OLD, NEW, NEW])
        streams = self.start_streams(0)
        for node in range(2):
            self.platform.node_processes[node].kill()
            for stream in streams:
                stream.join()
                stream.start(node + 1)
            time.sleep(1.5 * EVENT_INTERVAL_MS / 1000)
        for stream in streams:
            stream.join()
        self.check_versions(streams)
        served = [stream for stream in streams if stream.complete]
        self.assertGreaterEqual(2 * len(served), STREAMS, "share of streams that went on")

    def start_streams_of_new_version(self, suspended):
        """Lets runners of a version join while a node stands still; returns their streams."""
        self.start_platform([OLD, OLD, NEW, NEW], listed={OLD}, stream_timeout_ms=SHORT_TIMEOUT_MS)
        time.sleep(HISTORY_SECONDS)
        self.platform.node_processes[suspended].suspend()
        for name, version in self.platform.versions.items():
            if version == NEW:
                self.platform.register_runner(name)
        time.sleep(1.0)
        streams = self.start_streams(0)
        self.assertTrue([stream for stream in streams if stream.versions() == {NEW}])
        return streams

    def test_node_that_stood_still_while_a_version_joined(self):
        streams = self.start_streams_of_new_version(suspended=1)
        self.platform.node_processes[0].kill()
        self.platform.node_processes[1].resume()
        self.take_up_at(1, streams)

    def test_node_that_stood_still_while_a_version_came_and_went(self):
        streams = self.start_streams_of_new_version(suspended=1)
        self.kill_runners(NEW)
        self.platform.node_processes[1].resume()
        self.take_up_at(1, streams)

    def test_node_without_the_store_while_a_version_joined(self):
        """Its list of runners is old, and the nodes that hold the origins are gone."""
        streams = self.start_streams_of_new_version(suspended=1)
        self.platform.disconnect_store(1)
        for node in (0, 2, 3):
            self.platform.node_processes[node].kill()
        self.platform.node_processes[1].resume()
        self.take_up_at(1, streams)

    def test_all_nodes_restart_while_two_versions_serve(self):
        self.start_platform([OLD, OLD, NEW, NEW], stream_timeout_ms=SHORT_TIMEOUT_MS)
        streams = self.start_streams(0)
        self.restart_all_nodes()
        self.take_up_at(1, streams)

    def test_all_nodes_restart_right_after_a_version_left(self):
        self.resume_after_version_left((0.0, 2.0, 4.0))

    def test_answer_goes_on_at_version_that_began_it(self):
        self.start_platform([OLD, OLD, NEW, NEW])
        streams = self.start_streams(0, 6)
        self.platform.runner_processes[0].kill()
        self.platform.runner_processes[2].kill()
        for stream in streams:
            stream.join()
        self.check_versions(streams)

    def test_resumption_without_runner_of_its_version_is_refused_at_once(self):
        self.start_platform([OLD, NEW, NEW])
        streams = self.start_streams(0, 6)
        old = [stream for stream in streams if stream.versions() == {OLD}]
        self.assertTrue(old)
        self.kill_runners(OLD)
        for stream in old:
            stream.join().start(1)
        for stream in old:
            stream.join()
            self.assertEqual(stream.status, 503)
            self.assertLess(stream.wait, REFUSAL_SECONDS)
        self.check_versions(streams)

    def test_resumption_of_unknown_stream_is_refused_at_once_during_replacement(self):
        self.start_platform([OLD, NEW])
        for resumes in ("unknown", "x" * 5000, ""):
            stream = Stream(self.platform, "unknown")
            stream.events = {1: "of unknown origin"}
            stream.first_attempt = resumes
            stream.start(1).join()
            self.assertEqual(stream.status, 503, resumes[:10])
            self.assertLess(stream.wait, REFUSAL_SECONDS)
            stream.start(1, resumes=False).join()
            self.assertEqual(stream.status, 503, "without Resumes")
            self.assertLess(stream.wait, REFUSAL_SECONDS)

    def test_batch_items_have_texts_of_one_version(self):
        self.start_platform([OLD, NEW])
        self.assertEqual(self.platform.submit(0, "job", ITEMS), 202)
        time.sleep(2.5 * EVENT_INTERVAL_MS / 1000)
        self.kill_runners(OLD)
        for result in self.platform.wait_results(1, "job", ITEMS):
            self.assertEqual(result["state"], "completed")
            texts = result["message"].split("\n")
            self.assertEqual(len(texts), EVENTS)
            self.assertEqual(len({text.split("|")[0] for text in texts}), 1, result["id"])

    def test_streams_resume_while_one_version_serves(self):
        self.start_platform([OLD, OLD, OLD])
        streams = self.start_streams(0, 6)
        self.platform.node_processes[0].kill()
        for stream in streams:
            stream.join().start(1)
        for stream in streams:
            stream.join()
            self.assertTrue(stream.complete)


class LateResumptionTest(StreamVersionsFixture):
    """Callers may take a stream up later than the time over which nodes expect it to extend."""

    def test_resumption_after_all_nodes_restarted_and_a_version_left(self):
        self.resume_after_version_left((0.0, 2.0, 4.0, 6.0))


if __name__ == "__main__":
    unittest.main()
