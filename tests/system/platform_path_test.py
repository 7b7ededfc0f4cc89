"""End-to-end tests on the emulated platform with real processes: store, runners and nodes.

Steps wait for events and are bounded by counts; no test asserts how long a step takes.
"""

import fcntl
import http.client
import json
import os
import select
import signal
import subprocess
import tempfile
import unittest

from platform_fleet import HOST, Platform, item_text, stream_text
from fleet import BUILD, call, call_json, wait_for

class PlatformPathTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.platform = Platform(self.directory.name)
        self.addCleanup(self.directory.cleanup)
        self.addCleanup(self.platform.stop)

    def start(self):
        for name in self.platform.runners:
            self.platform.register_runner(name)
        self.platform.configure(1)
        self.platform.wait_ready()

    def test_node_without_configuration_is_not_ready_and_never_answers_404(self):
        wait_for(lambda: call(self.platform.ready[0], "GET", "/api/ready")[0] == 503, "node 0")
        status, headers, _ = self.platform.ask(0, "q1")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.start()
        self.assertEqual(self.platform.ask(0, "q2")[0], 200)

    def test_streams_are_relayed_completely_by_every_node(self):
        self.start()
        for node in range(3):
            status, headers, body = self.platform.ask(node, "q%d" % node)
            self.assertEqual(status, 200)
            self.assertEqual(headers["Stoathold-Response-Seal"], "signed-q%d" % node)
            self.assertEqual(body.decode(), stream_text("q"))

    def test_broken_stream_resumes_at_another_runner(self):
        self.start()
        for name in self.platform.runners:
            self.platform.set_faults(self.platform.runners[name], break_after=2)
        served = 0
        for attempt in range(20):
            try:
                status, _, body = self.platform.ask(0, "b%d" % attempt)
                # Two attempts yield four events; the fifth needs a third, which is not allowed.
                self.assertNotEqual((status, body.decode()), (200, stream_text("q")))
            except http.client.IncompleteRead as cut:
                self.assertTrue(stream_text("q").startswith(cut.partial.decode()))
            served += 1
        self.assertEqual(served, 20)
        self.platform.set_faults(self.platform.runners["r1"], break_after=0)
        for attempt in range(20):
            self.assertEqual(self.platform.ask(0, "c%d" % attempt)[2].decode(), stream_text("q"))

    def test_foreign_and_corrupt_responses_do_not_reach_clients(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, foreign_answers=1, spoiled_answers=1)
        for attempt in range(10):
            status, headers, body = self.platform.ask(0, "f%d" % attempt)
            if status == 200:
                self.assertEqual(headers["Stoathold-Response-Seal"], "signed-f%d" % attempt)
                self.assertEqual(body.decode(), stream_text("q"))

    def test_job_submission_is_idempotent_across_nodes(self):
        self.start()
        for node in (0, 1, 2, 0):
            self.assertEqual(self.platform.submit(node, "j1"), 202)
        first = self.platform.wait_results(1, "j1", 3)
        self.assertEqual(sorted(r["id"] for r in first), ["j1-0", "j1-1", "j1-2"])
        for result in first:
            index = int(result["id"][-1])
            self.assertEqual(result["state"], "completed")
            self.assertEqual(result["message"], item_text(index))
            self.assertEqual(self.platform.runs(result["id"]), 1)
        self.assertEqual(self.platform.wait_results(2, "j1", 3), first)
        self.platform.set_faults(self.platform.store, drop_history=True)
        self.assertEqual(self.platform.wait_results(0, "j1", 3), first)
        self.assertEqual(self.platform.results(0, "none")[0], 404)

    def test_bodies_are_stored_and_cancellation_stops_the_job(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=True)
        self.assertEqual(self.platform.submit(0, "j2"), 202)
        status, _, body = call(self.platform.nodes[1], "GET", "/api/items/j2?id=j2-1", None,
                               {"Host": HOST})
        self.assertEqual((status, body), (200, b"1" * 700))
        for node in (2, 1):
            status, _, _ = call(self.platform.nodes[node], "DELETE", "/api/lots/j2", None,
                                {"Host": HOST})
            self.assertEqual(status, 200)
        wait_for(lambda: call(self.platform.nodes[0], "GET", "/api/items/j2?id=j2-1", None,
                              {"Host": HOST})[0] == 404, "node 0 to see the cancellation")
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=False)
        self.assertEqual(self.platform.submit(1, "j3"), 202)
        self.platform.wait_results(0, "j3", 3)
        self.assertEqual(self.platform.results(0, "j2")[1]["results"], [])
        self.assertEqual(self.platform.runs("j2-0"), 0)

    def test_accepted_job_survives_the_crash_of_all_nodes(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=True)
        self.assertEqual(self.platform.submit(0, "j4"), 202)
        for process in self.platform.node_processes:
            process.kill()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=False)
        for process in self.platform.node_processes:
            process.start()
        self.platform.wait_ready()
        self.assertEqual(len(self.platform.wait_results(2, "j4", 3)), 3)

    def test_items_of_a_crashed_node_are_taken_over(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=True)
        for job in range(8):
            self.assertEqual(self.platform.submit(job % 3, "k%d" % job), 202)
        self.platform.node_processes[1].kill()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=False)
        for job in range(8):
            self.assertEqual(len(self.platform.wait_results(0, "k%d" % job, 3)), 3)

    def test_store_outage_keeps_online_requests_served_and_fails_job_calls(self):
        self.start()
        self.assertEqual(self.platform.submit(0, "j5"), 202)
        self.platform.wait_results(0, "j5", 3)
        for outage in ("busy", "reset", "silent"):
            self.platform.set_faults(self.platform.store, outage=outage)
            self.assertEqual(self.platform.ask(0, "o-" + outage)[0], 200)
            self.assertIn(self.platform.results(1, "j6")[0], (503,))
            self.assertIn(self.platform.submit(1, "j6" + outage), (503, 504))
            self.platform.set_faults(self.platform.store, outage="")
            wait_for(lambda o=outage: self.platform.submit(1, "j6" + o) == 202, "the store")
            self.platform.wait_results(2, "j6" + outage, 3)

    def test_node_without_store_access_relays_job_calls(self):
        self.start()
        self.platform.disconnect_store(0)
        # Nodes discover one another within a second or two; until then the job is rejected.
        wait_for(lambda: self.platform.submit(0, "p1") == 202, "p1 to be accepted")
        results = self.platform.wait_results(0, "p1", 3)
        self.assertEqual(len({r["id"] for r in results}), 3)
        self.assertEqual(results, self.platform.wait_results(1, "p1", 3))
        self.assertEqual(self.platform.results(0, "p2")[0], 404)

    def test_lost_and_late_store_responses_create_no_duplicate_job(self):
        self.start()
        self.platform.set_faults(self.platform.store, lose_answers=3)
        wait_for(lambda: self.platform.submit(0, "j7") == 202, "j7 to be accepted")
        self.platform.set_faults(self.platform.store, late_appends=4, late_ms=300)
        wait_for(lambda: self.platform.submit(1, "j8") == 202, "j8 to be accepted")
        for job in ("j7", "j8"):
            results = self.platform.wait_results(2, job, 3)
            self.assertEqual(len({r["id"] for r in results}), 3)
            self.assertEqual(self.platform.results(0, job, 3)[1]["results"], [])

    def test_failing_items_are_dead_lettered_after_their_attempts(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, error_status=500)
        self.assertEqual(self.platform.submit(0, "j9", 1), 202)
        results = self.platform.wait_results(1, "j9", 1)
        self.assertEqual(results[0]["state"], "dead_lettered")
        self.assertEqual(self.platform.runs("j9-0"), 3)
        for address in self.platform.runners.values():
            self.platform.set_faults(address, error_status=422)
        self.assertEqual(self.platform.submit(0, "j10", 1), 202)
        self.assertEqual(self.platform.wait_results(1, "j10", 1)[0]["state"], "dead_lettered")
        self.assertEqual(self.platform.runs("j10-0"), 1)

    def test_graceful_shutdown_finishes_requests_in_flight(self):
        self.start()
        host, port = self.platform.nodes[0].rsplit(":", 1)
        kept = http.client.HTTPConnection(host, int(port), timeout=30)
        headers = {"Host": HOST, "Stoathold-Attempt-Id": "s1"}
        kept.request("POST", "/ask/1", b"q", headers)
        self.platform.node_processes[0].handle.send_signal(signal.SIGTERM)
        answer = kept.getresponse()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.read().decode(), stream_text("q"))
        wait_for(lambda: call(self.platform.ready[0], "GET", "/api/ready")[0] == 503, "the stop")
        self.assertEqual(self.platform.ask(0, "s2")[0], 200)
        self.assertEqual(self.platform.node_processes[0].handle.wait(30), 0)
        self.assertEqual(self.platform.ask(1, "s3")[0], 200)

    def test_settings_reload_interrupts_no_request(self):
        self.start()
        process = self.platform.node_processes[0]
        for attempt in range(5):
            process.handle.send_signal(signal.SIGHUP)
            self.assertEqual(self.platform.ask(0, "h%d" % attempt)[0], 200)
        self.assertIsNone(process.handle.poll())

    def test_new_configuration_applies_at_all_nodes_and_never_reverts(self):
        self.start()
        extra = {"name": "new", "host": HOST, "path_prefix": "/new/", "kind": "streaming",
                 "timeout_ms": 5000, "target_latency_ms": 500, "service": "chat",
                 "max_attempts": 1}
        self.platform.configure(5, [extra])

        def served(node):
            return call(self.platform.nodes[node], "POST", "/new/1", b"q",
                        {"Host": HOST, "Stoathold-Attempt-Id": "n%d" % node})[0] == 200

        for node in range(3):
            wait_for(lambda n=node: served(n), "version 5 at node %d" % node)
        self.platform.configure(3)
        for node in range(3):
            self.assertEqual(self.platform.ask(node, "v%d" % node)[0], 200)
            self.assertTrue(served(node))

    def test_a_failed_request_is_explained_by_its_id_alone(self):
        self.start()
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=True)
        self.assertEqual(self.platform.ask(1, "refused-1")[0], 503)
        for address in self.platform.runners.values():
            self.platform.set_faults(address, not_run=False, break_after=1)
        try:
            self.platform.ask(2, "broken-1")
        except http.client.IncompleteRead:
            pass
        for address in self.platform.runners.values():
            self.platform.set_faults(address, break_after=0, error_status=422)
        self.assertEqual(self.platform.submit(0, "job-1", 1), 202)
        self.platform.wait_results(0, "job-1", 1)
        refused = self.explain("refused-1", "request_ended")
        self.assertIn("reason=no_runner", refused)
        self.assertIn("runs=0", refused)
        for runner in self.platform.runners:
            self.assertRegex(refused, "attempt_failed .*runner=%s .*result=not_run" % runner)
            # The choice of the runner is logged with the figures that decided it.
            self.assertRegex(refused, "request_sent.* runner=%s .*candidates=[12],load=" % runner)
        broken = self.explain("broken-1", "request_ended")
        self.assertIn("outcome=broken_off", broken)
        self.assertRegex(broken, "attempt_failed .*result=broken .*last_event=1")
        self.assertIn("runner_listed", broken)
        given_up = self.explain("job-1-0", "item_listed")
        self.assertIn("item_done", given_up)
        self.assertIn("result=impossible", given_up)
        self.assertIn("state=dead_lettered", given_up)

    def explain(self, request, last_event):
        """Returns the output of `explain-logs` over all nodes, once it contains `last_event`."""
        logs = [process.log_path for process in self.platform.node_processes]
        command = [BUILD / "apps/stoatctl", "explain-logs", request] + logs

        def is_complete():
            self.text = subprocess.run(command, capture_output=True, text=True).stdout
            return last_event in self.text

        wait_for(is_complete, "the explanation of " + request)
        return self.text

    def test_stuck_item_is_visible_in_logs_and_metrics(self):
        self.platform.configure(1)
        self.platform.wait_ready()
        self.assertEqual(self.platform.submit(0, "j9", count=2), 202)
        logs = [process.log_path for process in self.platform.node_processes]

        def lines(name):
            found = []
            for log in logs:
                rows = [json.loads(line) for line in log.read_text().splitlines()
                        if line[:1] == "{"]
                found += [row for row in rows if row["name"] == name]
            return found

        def waiting():
            return [row for row in lines("items_open")
                    if row["stage"] == "waiting_for_slot" and row["items"] == "2"]

        wait_for(waiting, "the open items")
        latest = waiting()[-1]
        self.assertIn(latest["item"], ("j9-0", "j9-1"))
        self.assertTrue(latest["stages"].startswith("waiting_for_slot=2/"), latest["stages"])

        def shown(value):
            return any(value in call(ready, "GET", "/metrics")[2].decode()
                       for ready in self.platform.ready)

        wait_for(lambda: shown('stoathold_open_items{stage="waiting_for_slot"} 2'), "the gauge")
        self.assertTrue(
            shown('stoathold_store_answered_bytes_total{call="read",topic="job-bodies"}'))
        wait_for(lambda: any("read:job-bodies=" in row["by_topic"]
                             for row in lines("store_traffic")), "reads of bodies to be logged")
        steps = {row["step"] for row in lines("start_progress")}
        self.assertEqual(steps, {"configuration_known", "runner_list_known", "first_slots_held",
                                 "jobs_read"})

    def start_with_a_full_log_pipe(self):
        """Restarts node 0 with its log on a small pipe that is never read, and fills the pipe."""
        self.start()
        process = self.platform.node_processes[0]
        process.kill()
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, reader)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        handle = subprocess.Popen(process.arguments, stdout=writer, stderr=subprocess.DEVNULL)
        self.addCleanup(handle.wait)
        self.addCleanup(handle.kill)
        self.platform.wait_ready([0])
        for attempt in range(60):
            self.assertEqual(self.platform.ask(0, "p%d" % attempt)[0], 200)
        # The pipe is full: a write would block.
        self.assertEqual(select.select([], [writer], [], 0)[1], [])
        return handle

    def test_full_log_pipe_does_not_block_requests(self):
        self.start_with_a_full_log_pipe()
        self.assertEqual(call(self.platform.ready[0], "GET", "/api/ready")[0], 200)

    def test_full_log_pipe_does_not_block_graceful_shutdown(self):
        handle = self.start_with_a_full_log_pipe()
        handle.send_signal(signal.SIGTERM)
        self.assertEqual(handle.wait(60), 0)

    def test_draining_runner_gets_no_new_requests(self):
        self.start()
        self.platform.register_runner("r0", "draining")
        wait_for(lambda: b"draining" in self.platform.node_processes[0].log_path.read_bytes(),
                 "node 0 to see the change")
        for attempt in range(10):
            self.assertEqual(self.platform.ask(0, "d%d" % attempt)[0], 200)
        address = self.platform.runners["r0"]
        runs = call_json(address, "GET", "/admin/runs")[1]
        self.assertFalse([name for name in runs if name.startswith("d")])

    def test_runner_restarted_with_the_same_id_is_used_again(self):
        """Restarts runners with their directory entries in place and with the entries removed."""
        self.start()
        for entry_removed in (False, True):
            for name in self.platform.runners:
                self.assertEqual(self.platform.ask(0, "b%s%s" % (name, entry_removed))[0], 200)
                self.platform.runner_process(name).kill()
                if entry_removed:
                    self.platform.deregister_runner(name)
                self.platform.start_runner_again(name, same_id=True)
            start = b'"born":"%d"' % self.platform.start_times["r1"]
            wait_for(lambda text=start:
                     text in self.platform.node_processes[0].log_path.read_bytes(),
                     "node 0 to see the change")
            for attempt in range(10):
                status, _, body = self.platform.ask(0, "s%s%d" % (entry_removed, attempt))
                self.assertEqual((status, body.decode()), (200, stream_text("q")))

    def test_malformed_directory_entries_are_ignored(self):
        self.start()
        foreign = {"x1": b"\xff\xfe{", "x2": b"[" * 1500, "x3": b'{"service":"chat","address":7}',
                   "x4": b'{"service":"chat","address":"127.0.0.1:1","zone":"z1","slots":4,'
                         b'"state":"warming"}'}
        for key, value in foreign.items():
            self.platform.append_raw("keyed.servers", key, value)
        wait_for(lambda: b'"x4"' in self.platform.node_processes[0].log_path.read_bytes(),
                 "node 0 to see the change")
        for attempt in range(20):
            status, _, body = self.platform.ask(0, "e%d" % attempt)
            self.assertEqual((status, body.decode()), (200, stream_text("q")))
        log = self.platform.node_processes[0].log_path.read_text(errors="replace")
        for key in foreign:
            lines = [line for line in log.splitlines()
                     if '"record_malformed"' in line and '"%s"' % key in line]
            self.assertEqual(len(lines), 1, key)


if __name__ == "__main__":
    unittest.main(verbosity=2)
