"""Fault tests with real processes: kills, suspensions, outages, lost responses, races, shutdowns.

Steps wait for events and are bounded by counts; no test asserts how long a step takes.
"""

import http.client
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import BUILD, Fleet, call, call_json, chat_body, free_ports, read_events, wait_for  # noqa: E402

RANDOM_REQUESTS = 300


def submit(address, key, count, tokens=16):
    items = [{"custom_id": "c%d" % i, "prompt": "%s item %d" % (key, i), "max_tokens": tokens}
             for i in range(count)]
    return call_json(address, "POST", "/v1/batches",
                     {"service": "assistant", "priority_class": "drafts", "items": items},
                     {"Idempotency-Key": key})


def status_of(address, job):
    status, body = call_json(address, "GET", "/v1/batches/" + job)
    return body["status"] if status == 200 else "unanswered"


def results_of(address, job):
    """Returns all results by index; retries pages that are temporarily unavailable."""
    results, after = {}, 0
    while True:
        status, page = call_json(address, "GET",
                                 "/v1/batches/%s/results?after=%d" % (job, after))
        if status != 200:
            continue
        for result in page["data"]:
            results[result["index"]] = result["text"]
        after = page["next_after"]
        if not page["has_more"]:
            return results


def executions(fleet):
    """Returns how often each request body was executed, over all engines."""
    total = {}
    for address in fleet.engines:
        for key, count in call_json(address, "GET", "/admin/executions")[1].items():
            total[key] = total.get(key, 0) + count
    return total


class SystemTest(unittest.TestCase):
    """Runs each test on its own fleet."""

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def fleet(self, **options):
        fleet = Fleet(self.directory.name, **options)
        self.addCleanup(fleet.stop)
        fleet.start()
        fleet.apply_service()
        return fleet

    def complete(self, address, job):
        wait_for(lambda: status_of(address, job) == "completed", "the job to complete", 90)

    def test_suspended_owner_is_replaced_and_its_return_changes_nothing(self):
        fleet = self.fleet()
        jobs = []
        for number in range(6):
            status, body = submit(fleet.node_http[0], "freeze-%d" % number, 20)
            self.assertEqual(status, 200, body)
            jobs.append(body["id"])
        fleet.processes["node-1"].suspend()
        for job in jobs:
            self.complete(fleet.node_http[0], job)
        before = {job: results_of(fleet.node_http[0], job) for job in jobs}
        fleet.processes["node-1"].resume()
        fleet.wait_ready(1)
        for job in jobs:
            self.assertEqual(len(before[job]), 20)
            wait_for(lambda j=job: status_of(fleet.node_http[1], j) == "completed", "the status")
            self.assertEqual(results_of(fleet.node_http[1], job), before[job])

    def test_log_outage_keeps_online_requests_served_and_rejects_jobs_as_not_run(self):
        fleet = self.fleet()
        fleet.set_faults(fleet.log, outage=True)
        self.addCleanup(lambda: fleet.set_faults(fleet.log, outage=False))
        status, _ = call_json(fleet.node_http[0], "POST", "/v1/chat/completions", chat_body("q"))
        self.assertEqual(status, 200)

        def refused():
            _, body = submit(fleet.node_http[0], "outage", 5)
            return body["error"]["execution"] == "not_run" and body["error"]["retry_after_ms"] > 0

        wait_for(refused, "the outage to be detected", 60)
        fleet.set_faults(fleet.log, outage=False)
        wait_for(lambda: submit(fleet.node_http[0], "outage", 5)[0] == 200, "the log to return", 60)

    def test_lost_log_responses_neither_duplicate_nor_lose_a_job(self):
        fleet = self.fleet()
        fleet.set_faults(fleet.log, lose_answers=3)
        outcomes = []

        def one(address):
            outcomes.append(submit(address, "lost", 10))

        threads = [threading.Thread(target=one, args=(fleet.node_http[i],)) for i in (0, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ids = {body["id"] for status, body in outcomes if status == 200}
        self.assertEqual(len(ids), 1, outcomes)
        job = ids.pop()
        self.complete(fleet.node_http[1], job)
        self.assertEqual(len(results_of(fleet.node_http[1], job)), 10)

    def test_concurrent_updates_have_one_winner_and_conflicts(self):
        fleet = self.fleet(engines=1)
        for attempt in range(5):
            outcomes = []

            def put(address, limit, name="race-%d" % attempt, seen=outcomes):
                seen.append(call_json(address, "PUT", "/v1/resources/Tenant/" + name,
                                      {"version": 0, "spec": {"max_concurrent": limit}}))

            threads = [threading.Thread(target=put, args=(fleet.node_http[i], i + 1))
                       for i in range(3)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(sorted(status for status, _ in outcomes), [200, 409, 409])

    def test_graceful_shutdown_completes_open_streams(self):
        fleet = self.fleet()
        expected = {}
        for i in range(12):
            _, _, content = call(fleet.engines[0], "POST", "/v1/chat/completions",
                                 chat_body("stop %d" % i, True, 60))
            expected[i] = read_events(content)[0]
        answers = {}
        started = threading.Barrier(13)

        def ask(i):
            connection = http.client.HTTPConnection(*fleet.node_http[0].rsplit(":", 1), timeout=30)
            connection.request("POST", "/v1/chat/completions",
                               str.encode(json.dumps(
                                   chat_body("stop %d" % i, True, 60))))
            response = connection.getresponse()
            started.wait()
            answers[i] = (response.status, read_events(response.read()))

        threads = [threading.Thread(target=ask, args=(i,)) for i in range(12)]
        for thread in threads:
            thread.start()
        started.wait()
        self.assertEqual(fleet.processes["node-0"].stop(), 0)
        for thread in threads:
            thread.join()
        for i in range(12):
            status, (texts, finished, error) = answers[i]
            self.assertEqual((status, finished, error), (200, True, None))
            self.assertEqual(texts, expected[i])

    def test_unsafe_requests_run_at_most_once(self):
        fleet = self.fleet(engines=2)
        unsafe = {"X-Unsafe-To-Repeat": "true"}
        for address in fleet.engines:
            fleet.set_faults(address, break_after_tokens=2)
        status, body = call_json(fleet.node_http[0], "POST", "/v1/chat/completions",
                                 chat_body("unsafe once"), unsafe)
        self.assertGreaterEqual(status, 500)
        self.assertEqual(body["error"]["execution"], "unknown")
        self.assertEqual(list(executions(fleet).values()), [1])
        for address in fleet.engines:
            fleet.set_faults(address, break_after_tokens=0)
        outcomes = []

        def ask(address):
            outcomes.append(call_json(address, "POST", "/v1/chat/completions",
                                      chat_body("unsafe keyed"),
                                      unsafe | {"Idempotency-Key": "pay-1"})[0])

        threads = [threading.Thread(target=ask, args=(address,)) for address in fleet.node_http]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(outcomes), [200, 409, 409])
        self.assertEqual(sorted(executions(fleet).values()), [1, 1])

    def test_a_leaving_engine_gets_no_new_work(self):
        fleet = self.fleet(engines=3)
        fleet.set_faults(fleet.engines[0], leaving=True)

        def known_everywhere():
            return all(runner["leaving"] for address in fleet.node_http
                       for runner in call_json(address, "GET", "/v1/runners")[1]["items"]
                       if runner["name"] == "runner-0")

        wait_for(known_everywhere, "every node to see the leaving engine")
        before = call_json(fleet.engines[0], "GET", "/admin/executions")[1]
        for i in range(60):
            status, _ = call_json(fleet.node_http[i % 3], "POST", "/v1/chat/completions",
                                  chat_body("leaving %d" % i, False, 4))
            self.assertEqual(status, 200)
        self.assertEqual(call_json(fleet.engines[0], "GET", "/admin/executions")[1], before)

    def test_response_is_complete_although_engines_break_off(self):
        fleet = self.fleet(engines=3)
        _, _, content = call(fleet.engines[0], "POST", "/v1/chat/completions",
                             chat_body("whole", True, 40))
        expected = read_events(content)[0]
        fleet.set_faults(fleet.engines[0], break_after_tokens=5)
        fleet.set_faults(fleet.engines[1], break_after_tokens=9)
        _, _, content = call(fleet.node_http[0], "POST", "/v1/chat/completions",
                             chat_body("whole", True, 40))
        texts, finished, error = read_events(content)
        self.assertEqual((texts, finished, error), (expected, True, None))

    def test_an_answer_can_be_resumed_through_another_node(self):
        fleet = self.fleet()
        body = chat_body("resume", True, 30)
        _, _, content = call(fleet.node_http[0], "POST", "/v1/chat/completions", body)
        complete = read_events(content)[0]
        _, _, content = call(fleet.node_http[1], "POST", "/v1/chat/completions", body,
                             {"Last-Event-ID": "6"})
        self.assertEqual(read_events(content)[0], complete[6:])

    def test_a_cancelled_job_stops(self):
        fleet = self.fleet(engines=1)
        _, body = submit(fleet.node_http[0], "cancelled", 400, 60)
        job = body["id"]
        wait_for(lambda: call_json(fleet.node_http[0], "GET", "/v1/batches/" + job)[1]
                 ["request_counts"]["completed"] > 0, "some items")
        status, cancelled = call_json(fleet.node_http[1], "POST", "/v1/batches/%s/cancel" % job)
        self.assertEqual((status, cancelled["status"]), (200, "cancelled"))
        completed = cancelled["request_counts"]["completed"]
        self.assertLess(completed, 400)
        wait_for(lambda: call_json(fleet.engines[0], "GET", "/v1/load")[1]["batch_streams"] == 0,
                 "the engine to stop")
        _, later = call_json(fleet.node_http[2], "GET", "/v1/batches/" + job)
        self.assertEqual(later["request_counts"]["completed"], completed)
        self.assertEqual(len(results_of(fleet.node_http[2], job)), completed)

    def test_a_node_cut_off_from_the_log_loses_its_shards_to_others(self):
        fleet = Fleet(self.directory.name)
        self.addCleanup(fleet.stop)
        fleet.start_emulators()
        link, admin = ("127.0.0.1:%d" % port for port in free_ports(2))
        fleet.start_process("link", [BUILD / "apps" / "stoathold-emulator", "link", "--listen",
                                     link, "--target", fleet.log, "--admin-listen", admin])
        straight, fleet.log = fleet.log, link
        wait_for(lambda: call(link, "GET", "/admin/figures")[0] == 200, "the link")
        fleet.start_node(0)
        fleet.log = straight
        fleet.start_node(1)
        fleet.start_node(2)
        for index in range(3):
            fleet.wait_ready(index)
        fleet.apply_service()
        _, body = submit(fleet.node_http[1], "cut", 60)
        status, _, _ = call(admin, "POST", "/admin/faults", {"cut": True})
        self.assertEqual(status, 200)

        def owned_elsewhere():
            owned = [sum(1 for shard in call_json(address, "GET", "/v1/shards")[1]["items"]
                         if shard["owned"]) for address in fleet.node_http[1:]]
            return sum(owned) == 32

        wait_for(owned_elsewhere, "the other nodes to own every shard", 60)
        self.complete(fleet.node_http[1], body["id"])
        before = results_of(fleet.node_http[1], body["id"])
        call(admin, "POST", "/admin/faults", {"cut": False})
        wait_for(lambda: status_of(fleet.node_http[0], body["id"]) == "completed", "the heal", 60)
        self.assertEqual(results_of(fleet.node_http[0], body["id"]), before)

    def test_bad_input_gets_a_clear_answer_and_never_a_crash(self):
        fleet = self.fleet(nodes=1, engines=1, zones=1)
        address = fleet.node_http[0]
        bad = [b"", b"{", b"[]", b'{"model":1}', b'{"model":"assistant"}', b"\xff\xfe",
               b'{"model":"assistant","messages":[{"content":"\xff"}]}',
               b'{"model":"assistant","messages":[{"content":"a"}],"max_tokens":-1}',
               b'{"model":"nobody","messages":[{"content":"a"}]}']
        for body in bad:
            status, _, content = call(address, "POST", "/v1/chat/completions", body)
            self.assertIn(status, (400, 404), body)
            self.assertIn(b'"execution":"not_run"', content)
        for target in ("/v1/batches/batch_zz", "/v1/nothing", "/%zz", "/v1/batches/batch_1"):
            self.assertEqual(call(address, "GET", target)[0], 404, target)
        host, port = address.rsplit(":", 1)
        randomness = random.Random(7)
        template = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\n"
                    b'{"model":"assistant"')
        for _ in range(RANDOM_REQUESTS):
            request = bytearray(template)
            for _ in range(randomness.randrange(1, 8)):
                request[randomness.randrange(len(request))] = randomness.randrange(256)
            with socket.create_connection((host, int(port)), timeout=5) as connection:
                connection.sendall(request[:randomness.randrange(1, len(request))])
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nX: " + b"y" * 20000 + b"\r\n\r\n")
            self.assertIn(b"431", connection.recv(100))
        self.assertEqual(call(address, "GET", "/healthz")[0], 200)
        self.assertIsNone(fleet.processes["node-0"].handle.poll())

    def test_the_command_line_names_file_line_and_field(self):
        fleet = self.fleet(nodes=1, engines=1, zones=1)
        path = pathlib.Path(self.directory.name) / "bad.yaml"
        path.write_text("kind: Service\nname: x\nspec:\n  model: m\n  runner_slot: 3\n")
        result = fleet.control("validate", str(path))
        self.assertEqual(result.returncode, 2)
        self.assertIn("bad.yaml:5: runner_slot", result.stderr)
        result = fleet.control("get", "Service", "-o", "json")
        self.assertIn('"name":"assistant"', result.stdout)
        self.assertEqual(fleet.control("get", "Service", "nobody").returncode, 1)
        self.assertEqual(fleet.control("delete", "PriorityClass", "drafts").returncode, 0)
        self.assertEqual(fleet.control("nodes").returncode, 0)
        watched = fleet.control("watch", "Service", "--seconds", "1")
        self.assertIn('"type":"ADDED"', watched.stdout)
        answer = call_json(fleet.node_http[0], "POST", "/v1/chat/completions", chat_body("q"))[1]
        explained = fleet.control("explain", answer["id"])
        self.assertIn("dispatched to", explained.stdout)
        result = subprocess.run(
            [str(BUILD / "apps" / "stoatctl"), "--server", "127.0.0.1:1", "nodes"],
            capture_output=True, check=False)
        self.assertEqual(result.returncode, 3)

    def test_wrong_settings_are_refused_with_the_nearest_name(self):
        path = pathlib.Path(self.directory.name) / "settings.yaml"
        path.write_text("name: n\nzone: z\nlisen: 127.0.0.1:1\n")
        result = subprocess.run(
            [str(BUILD / "apps" / "stoathold-node"), "--settings", str(path), "--check-settings"],
            capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 2)
        self.assertIn("settings.yaml:3: lisen: is not a setting; did you mean 'listen'?",
                      result.stderr)


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    unittest.main(verbosity=2)
