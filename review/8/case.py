"""An honest stub's requests are lost when a node that lacks a use case closes the stub's connections."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from harness import (BROKEN, CANNOT, HELD, TROUBLE, Connection, Executor, Registry, check, free_address, main,
                     replace_file, settings)

V1 = """
[use_case.slot-search]
goal_ms = 3300
cut_off_ms = 11000
earnings = 1

[use_case.appt-hold]
goal_ms = 3300
cut_off_ms = 8800
earnings = 2

[use_case.urgent-place]
goal_ms = 4400
cut_off_ms = 13000
earnings = 4

[customer.clinicas-valle]
quota_per_s = 54
"""
V2 = V1 + """
[use_case.reminder-status]
goal_ms = 3300
cut_off_ms = 8800
earnings = 1
"""
# The shares and works of agenda-central's use cases.
MIX = [("slot-search", 34, (260, 440)), ("reminder-status", 31, (180, 330)), ("appt-hold", 25, (180, 330)),
       ("urgent-place", 10, (260, 440))]
CUT_OFF_S = {"slot-search": 11.0, "reminder-status": 8.8, "appt-hold": 8.8, "urgent-place": 13.0}
SLACK_S = 0.060 + 0.050
CROSSING_S = 0.050
PER_S, PLAY_S = 9.0, 20.0


def play(record, processes):
    random.seed(int(os.environ.get("SEED", "62")))
    registry, gauges = Registry(), settings()["specifics"]["ownStats"]
    executor = Executor(record, gauges)
    listen, control = free_address(), free_address()
    documents = processes.path("documents")
    os.mkdir(documents)
    replace_file(os.path.join(documents, "serving.toml"), V2)
    with open(processes.path("v1.toml"), "w", encoding="utf-8") as file:
        file.write(V1)
    if not TROUBLE:
        processes.control("control", control, documents)
    operator = '[stream]\ncontrol = ["%s"]\nstore = "%s"\ndocument = "%s"\nlineage = "review"\n' % (
        control, processes.path("n1.store"), processes.path("v1.toml"))
    node = processes.node("n1", listen, executor.address, registry.address, operator)
    if not check(listen, record, 20):
        return CANNOT, "cannot run: the node is not ready"
    time.sleep(1.0)
    connections, sent, lost, resent = [], 0, [], []
    jobs = {}

    def connection():
        if not connections or connections[-1].ended_at is not None:
            connections.append(Connection(record, executor, listen, "c%d" % (len(connections) + 1)))
        return connections[-1]

    def send(method, run_ms, request=None):
        while True:
            current = connection()
            number = current.job(method, run_ms, request, owner="clinicas-valle")
            if number is not None:
                jobs[(current, number)] = (method, run_ms)
                return
            time.sleep(0.001)

    handled = set()

    def send_crossed_again():
        """What was written within 50 ms before a connection's end, or later, is sent once more."""
        for ended in connections:
            if ended.ended_at is None or ended in handled:
                continue
            handled.add(ended)
            for number in ended.open():
                request = ended.requests.get(number)
                if request and request not in resent and ended.ended_at - ended.written[number] <= CROSSING_S:
                    resent.append(request)
                    send(*jobs[(ended, number)], request)

    until = time.monotonic() + PLAY_S
    while time.monotonic() < until:
        method, _, (low, high) = random.choices(MIX, [share for _, share, _ in MIX])[0]
        send(method, random.uniform(low, high))
        sent += 1
        pause = time.monotonic() + random.expovariate(PER_S)
        while time.monotonic() < pause:
            time.sleep(0.002)
            send_crossed_again()
    settled = time.monotonic() + max(CUT_OFF_S.values()) + 1
    while time.monotonic() < settled and any(one.open() and one.ended_at is None for one in connections):
        time.sleep(0.02)
        send_crossed_again()
    if node.poll() is not None:
        return BROKEN, "broken: the node ended by itself"
    answers, run_unanswered, twice = {}, 0, 0
    for one in connections:
        for number, request in one.requests.items():
            for at, _ in one.answers.get(number, []):
                answers.setdefault(request, []).append(at)
            method, _ = jobs[(one, number)]
            got = one.answers.get(number, [])
            twice += len(got) > 1
            in_time = got and got[0][0] - one.written[number] <= CUT_OFF_S[method] + SLACK_S
            crossed = one.ended_at is not None and one.ended_at - one.written[number] <= CROSSING_S
            if in_time or crossed:
                continue
            # A new connection that is closed with nothing run on it: its requests have failed and are not lost.
            if not any(executor.starts.get(other) for other in one.requests.values()):
                continue
            lost.append(request)
            run_unanswered += executor.ended.get(request) == "good"
            record("lost: %s %s, run: %s" % (method, request, executor.ended.get(request, "not run")))
    text = "%d requests, %d connections, %d without an answer (of them %d run to their end), %d answered twice" % (
        sent, len(connections), len(lost), run_unanswered, twice)
    if twice or len(lost) > 0.003 * sent:
        return BROKEN, "broken: " + text
    return HELD, "held: " + text


main(os.path.dirname(os.path.abspath(__file__)), play)
