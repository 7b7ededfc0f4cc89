#!/usr/bin/env python3
"""End-to-end demo: three nodes in three zones, four engines, and one node killed under load.

Ends with `demo: online 60/60 whole, batch 200/200 exactly once` and exit code 0, or prints what is
missing and exits with 1.
"""

import sys
import tempfile
import threading
import time

from fleet import Fleet, call, call_json, chat_body, read_events, wait_for

ONLINE_REQUESTS = 60
BATCH_ITEMS = 200
KILL_AFTER_REQUESTS = 20
ATTEMPTS = 40


STARTED = time.monotonic()


def say(text):
    """Prints a progress message with the time since the start."""
    print("demo: [%5.1f s] %s" % (time.monotonic() - STARTED, text), flush=True)


def complete_response(engine, prompt):
    """Returns the complete response to a prompt, requested from an engine directly."""
    status, _, content = call(engine, "POST", "/v1/chat/completions", chat_body(prompt, True))
    assert status == 200
    texts, finished, _ = read_events(content)
    assert finished
    return [text for _, text in texts]


def ask(fleet, prompt, first_node):
    """Streams a response as a client does: resumes through another node if one is lost."""
    received = []
    for attempt in range(ATTEMPTS):
        address = fleet.node_http[(first_node + attempt) % len(fleet.node_http)]
        headers = {"Last-Event-ID": str(len(received))} if received else {}
        try:
            status, _, content = call(address, "POST", "/v1/chat/completions",
                                      chat_body(prompt, True), headers)
        except OSError:
            continue
        except Exception:  # The node was killed while it sent the response.
            continue
        if status != 200:
            time.sleep(0.1)
            continue
        texts, finished, error = read_events(content)
        received += [text for number, text in texts if number > len(received)]
        if finished and error is None:
            return received
    return received


def submit_batch(fleet):
    items = [{"custom_id": "note-%d" % index, "prompt": "enrolment note %d" % index,
              "max_tokens": 16} for index in range(BATCH_ITEMS)]
    job = {"service": "assistant", "priority_class": "drafts", "items": items}
    status, body = call_json(fleet.node_http[1], "POST", "/v1/batches", job,
                             {"Idempotency-Key": "demo-batch"})
    assert status == 200, body
    status, again = call_json(fleet.node_http[2], "POST", "/v1/batches", job,
                              {"Idempotency-Key": "demo-batch"})
    assert status == 200 and again["id"] == body["id"], again
    return body["id"]


def batch_results(fleet, job):
    results, after, more = {}, 0, True
    while more:
        status, page = call_json(fleet.node_http[2], "GET",
                                 "/v1/batches/%s/results?after=%d" % (job, after))
        if status != 200:
            time.sleep(0.2)
            continue
        for result in page["data"]:
            results.setdefault(result["index"], []).append(result["text"])
        after, more = page["next_after"], page["has_more"]
    return results


def run_online(fleet, job_started, outcomes, lost):
    prompts = ["parent question %d" % index for index in range(ONLINE_REQUESTS)]
    expected = [complete_response(fleet.engines[0], prompt) for prompt in prompts]
    job_started.set()
    threads = []

    def one(index):
        outcomes[index] = ask(fleet, prompts[index], index % 3) == expected[index]

    for index in range(ONLINE_REQUESTS):
        if index == KILL_AFTER_REQUESTS:
            say("killing node-0")
            fleet.processes["node-0"].kill()
            lost.set()
        thread = threading.Thread(target=one, args=(index,))
        thread.start()
        threads.append(thread)
        time.sleep(0.02)
    for thread in threads:
        thread.join()


def main():
    with tempfile.TemporaryDirectory() as directory, Fleet(directory) as fleet:
        say("starting emulators, three nodes in three zones, four engines")
        fleet.start()
        fleet.apply_service()
        say("service applied")
        job = submit_batch(fleet)
        say("batch of %d items accepted as %s" % (BATCH_ITEMS, job))
        outcomes, started, lost = {}, threading.Event(), threading.Event()
        run_online(fleet, started, outcomes, lost)

        def finished():
            status, body = call_json(fleet.node_http[1], "GET", "/v1/batches/" + job)
            return status == 200 and body["status"] == "completed"

        say("every online request has its answer")
        wait_for(finished, "the batch to complete", 60)
        say("batch completed")
        results = batch_results(fleet, job)
        say("results read back through another node")
        whole = sum(1 for good in outcomes.values() if good)
        expected = {index: "".join(complete_item_response(fleet, index))
                    for index in range(BATCH_ITEMS)}
        once = sum(1 for index in range(BATCH_ITEMS) if results.get(index) == [expected[index]])
        print("demo: online %d/%d whole, batch %d/%d exactly once" %
              (whole, ONLINE_REQUESTS, once, BATCH_ITEMS), flush=True)
        missing = [index for index in range(ONLINE_REQUESTS) if not outcomes.get(index)]
        missing_items = [i for i in range(BATCH_ITEMS) if results.get(i) != [expected[i]]]
        if missing or missing_items:
            print("demo: missing requests %s, items %s" % (missing, missing_items))
            return 1
        return 0


def complete_item_response(fleet, index):
    """Returns the response to an item, requested from an engine directly."""
    body = chat_body("enrolment note %d" % index, True, 16)
    _, _, content = call(fleet.engines[1], "POST", "/v1/chat/completions", body)
    return [text for _, text in read_events(content)[0]]


if __name__ == "__main__":
    sys.exit(main())
