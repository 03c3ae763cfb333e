"""An at-most-once job is started again after the link to the executor broke."""

import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standins as p

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 90.0
RATE = 180.0                # requests a second; the page has up to 190 for each service instance
BREAK_EVERY = (1.5, 3.0)    # seconds between two breaks of the link
PIECE_GAP = 0.002           # seconds between the two pieces of a line from the executor

# cardiff-quiz. Work is such that six cores are near their limit at 190 requests a second, as the page says. The class
# save-answer, which makes no calls, has the effect "unsafe": the short days may give a class another effect.
SETTINGS = {
    "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfter": 1000.0, "retryAfter": True},
    "classes": [
        {"name": "fetch-question", "aim": 2000.0, "gain": 1.0, "giveUp": 5000.0, "idempotency": "safe",
         "lateWorth": 0.0, "window": 5000.0},
        {"name": "save-answer", "aim": 1400.0, "gain": 2.0, "giveUp": 3400.0, "idempotency": "unsafe",
         "lateWorth": 0.0, "window": 5000.0}],
    "clients": {"marksRetry": False}, "customers": [], "dcs": ["cardiff", "newport", "bridgend"],
    "family": "server", "fleetSize": 3,
    "fees": {"connection": 0.0, "handshake": 0.0, "lateFail": 0.072, "origin": 0.0, "waste": 0.08},
    "guarantees": {"answerSlack": 60.0, "coldFrom": 0.23, "drainGrace": 2500.0, "fall": 1500.0,
                   "tipMultiple": 8.0, "warmUp": 17000.0},
    "overShareWorth": 1.0, "quantum": 2.0, "slotNo": 1, "stage": 0, "tiers": ["round-front", "question-bank"],
    "scoreParts": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
    "specifics": {"below": "tier", "blowup": 16.0, "callers": 3, "callsByClass": [True, False], "callsOut": 0.0,
                  "callsOver": 5000.0, "classSkipWorth": [0.0, 0.0], "cold": False, "cores": 6,
                  "fullChecks": False, "halt": "drop", "hangupSeen": False, "idle": 15000.0, "keyKb": 60.0,
                  "linger": 200.0, "memoryKb": 60000.0, "ownStats": ["core_use", "on_cores", "heap_share", "links"],
                  "passesDeadline": False, "readiness": False, "saidFor": 1000.0, "shareFor": 0.0,
                  "signal": "weight"},
    "telemetry": {"fields": [], "via": "silent"}, "worthBy": "request", "zone": 0}


async def main(record, folder):
    requests = {}

    def plan(id, entry):
        request = requests.get(id)
        if request is None or request["class"] != entry:
            return None
        if entry == "save-answer":
            return [p.lognormal(0.03, 0.7)]
        calls = random.choice([1, 2])
        return [p.lognormal(0.033, 0.8) / (calls + 1) for _ in range(calls + 1)]

    executor = p.Executor(record, plan, lambda id: requests[id].get("answer") is not None)
    database = p.Database(record, lambda: random.uniform(0.005, 0.02))
    await executor.listen()
    await database.listen()
    registry, registry_address = await p.Registry.listen()
    address = "127.0.0.1:%d" % p.free_port()
    node = p.Node(folder, {
        "name": "n1", "listen": address, "executor": executor.address, "registry": registry_address,
        "db": database.address, "seed": "%016x" % random.getrandbits(64), "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS}, record)
    node.start()
    try:
        await p.wait_until_up(address)
        stubs = [p.Stub(record, number, address) for number in (1, 2, 3)]
        for stub in stubs:
            await stub.connect()
        end = time.monotonic() + SECONDS
        if TROUBLE:
            executor.pieces = PIECE_GAP
        next_break = time.monotonic() + 2.0
        while time.monotonic() < end:
            await asyncio.sleep(random.expovariate(RATE))
            free = [stub for stub in stubs if len(stub.open) < 32]
            if free:
                name = "save-answer" if random.random() < 0.3 else "fetch-question"
                request = {"id": p.new_id(), "class": name, "params": {
                    "need": round(random.uniform(12, 63), 1), "level": round(random.random() * 0.999, 4),
                    "body": p.body("x" * random.randrange(10, 200))}}
                requests[request["id"]] = request
                random.choice(free).send(request)
            if TROUBLE and time.monotonic() >= next_break:
                executor.break_link()
                next_break = time.monotonic() + random.uniform(*BREAK_EVERY)
        executor.pieces = None
        await asyncio.sleep(6.0)
        if node.process.poll() is not None:
            record("the service instance has ended")
            print("the service instance has ended")
            return 2
    finally:
        node.end()
        registry.close()
    answers = {}
    for request in requests.values():
        answers[request.get("answer")] = answers.get(request.get("answer"), 0) + 1
    twice = [id for id, count in executor.starts.items()
             if count > 1 and requests[id]["class"] == "save-answer"]
    for id in twice:
        record("RULE BROKEN: at-most-once job", id, "was run", executor.starts[id], "times")
    text = "links %d, requests %d, answers %s, at-most-once jobs run twice: %d" % (
        executor.links, len(requests), answers, len(twice))
    record(text)
    print(text)
    if not answers.get("served") or (TROUBLE and executor.links < 5):
        return 2
    return 1 if twice else 0


if __name__ == "__main__":
    p.run_case(main, os.path.join(HERE, "record.txt"))
