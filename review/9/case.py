"""A further try of a numbered job that runs, or has run, is turned away while a version without its use case is in
effect."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from harness import (BROKEN, CANNOT, HELD, TROUBLE, Connection, Executor, Registry, check, free_address, main,
                     replace_file, settings)

CLAIM_CHECK = """
[use_case.claim-check]
goal_ms = 1400
cut_off_ms = 3600
earnings = 1

[customer.khangai-trans]
quota_per_s = 60
"""
V1 = CLAIM_CHECK + """
[use_case.claim-file]
goal_ms = 2300
cut_off_ms = 5700
earnings = 2
repeats = "numbered"
window_ms = 16989
"""
# The bad version: the name of a use case is misspelt.
V2 = V1.replace("use_case.claim-file", "use_case.claim-flie")
WINDOW_S, CUT_OFF_S = 16.989, 5.7
REFUSED = -32066
JOBS = 8


def play(record, processes):
    random.seed(int(os.environ.get("SEED", "62")))
    registry, gauges = Registry(), settings()["specifics"]["ownStats"]
    control, documents = free_address(), processes.path("documents")
    os.mkdir(documents)
    serving = os.path.join(documents, "serving.toml")
    replace_file(serving, V1)
    processes.control("control", control, documents)
    executors, listens, nodes = [], [], []
    for name in ("n1", "n2"):
        executors.append(Executor(record, gauges))
        listens.append(free_address())
        operator = '[stream]\ncontrol = ["%s"]\nstore = "%s"\nlineage = "review"\n' % (
            control, processes.path(name + ".store"))
        node_settings = settings()
        node_settings["clients"]["marksRetry"] = False
        nodes.append(processes.node(name, listens[-1], executors[-1].address, registry.address, operator,
                                    node_settings))
    if not all(check(listen, record, 20) for listen in listens):
        return CANNOT, "cannot run: a node is not ready"
    time.sleep(11.0)  # the first version passes its trial of 10 s

    def send(stub, key, body):
        return stub.job("claim-file", random.uniform(290, 480), opkey=key, body=body, owner="khangai-trans")

    stub = Connection(record, executors[0], listens[0], "n1.a")
    jobs = {"claim-%d" % index: "Y2xhaW0%d" % index for index in range(JOBS)}
    first = {}
    for key, body in jobs.items():
        first[key] = (send(stub, key, body), time.monotonic())
    until = time.monotonic() + 2
    while len(executors[0].starts) < JOBS and time.monotonic() < until:
        time.sleep(0.005)
    if TROUBLE:
        replace_file(serving, V2)
        record("version 2 is published: claim-file is misspelt in it")
    # A reset hits the stub's connection and loses all that is open on it; the stub tries again, at the same instance.
    stub.reset()
    record("reset of n1.a by the stub's side")
    time.sleep(0.5)
    second, again = Connection(record, executors[0], listens[0], "n1.b"), {}
    for key, body in jobs.items():
        again[key] = (send(second, key, body), time.monotonic())
    turned_away, ran_twice, unanswered = [], [], 0
    for key, (number, at) in again.items():
        answer = second.answer(number, CUT_OFF_S + 0.2)
        tries = [stub.requests[first[key][0]], second.requests[number]]
        unanswered += answer is None
        if sum(executors[0].starts.get(one, 0) for one in tries) > 1:
            ran_twice.append(key)
        if executors[0].starts.get(tries[0]) and at - first[key][1] < WINDOW_S and answer \
                and answer.get("error", {}).get("code") == REFUSED:
            turned_away.append((key, answer["error"].get("data", {}).get("nomore")))
            record("turned away: %s, whose first try %s was started, and ended %s" % (
                key, tries[0], executors[0].ended.get(tries[0])))
    # What that leads to: the operator takes the bad version back, and the stub takes the refused tries elsewhere.
    replace_file(serving, V1)
    time.sleep(0.5)
    third, effects = Connection(record, executors[1], listens[1], "n2.a"), 0
    elsewhere = [send(third, key, jobs[key]) for key, nomore in turned_away if not nomore]
    for number in elsewhere:
        answer = third.answer(number, CUT_OFF_S + 0.2)
        effects += executors[1].ended.get(third.requests[number]) == "good" and bool(answer)
    if any(node.poll() is not None for node in nodes):
        return BROKEN, "broken: a node ended by itself"
    text = "%d numbered jobs, %d run and turned away, %d run twice there, %d tries unanswered; " \
        "%d then run at another instance too" % (JOBS, len(turned_away), len(ran_twice), unanswered, effects)
    return (BROKEN, "broken: " + text) if turned_away or ran_twice or unanswered else (HELD, "held: " + text)


main(os.path.dirname(os.path.abspath(__file__)), play)
