"""A numbered job is run once more inside its window, after a version of the configuration without customers."""

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
JOBS_PER_S = 7.0            # at the one service instance: 120 a second over 18 to 22 of them
PATIENCE = 0.35             # seconds after which a client stub stops waiting for a try
RETRY_AFTER = (2.0, 14.0)   # seconds after which its client tries once more, within the window of 16,989 ms

# ub-expense. The classes come from the control service, with the figures of the site file. PROTOCOL.md has no field for
# the time that a caller still waits, so none is passed.
TENANTS = ["khangai-trans", "orkhon-build", "selenge-foods", "altai-tours", "gobi-print", "delger-dental"]
SETTINGS = {
    "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfter": 1000.0, "retryAfter": True},
    "classes": [], "clients": {"marksRetry": False}, "customers": [], "dcs": ["bayanzurkh"],
    "family": "server", "fees": {}, "fleetSize": 1,
    "guarantees": {"answerSlack": 100.0, "coldFrom": 0.22, "drainGrace": 2000.0, "fall": 2000.0,
                   "tipMultiple": 8.0, "warmUp": 17000.0},
    "overShareWorth": 0.1, "quantum": 2.0, "slotNo": 1, "stage": 0, "tiers": ["intake", "ledger"],
    "specifics": {"below": "tier", "blowup": 8.0, "callers": 1, "callsByClass": [], "callsOut": 0.0,
                  "callsOver": 5000.0, "classSkipWorth": [], "cold": False, "cores": 2, "fullChecks": False,
                  "halt": "pause", "hangupSeen": True, "idle": 30000.0, "keyKb": 10.0, "linger": 200.0,
                  "memoryKb": 60000.0, "ownStats": ["core_use", "on_cores", "heap_share", "links"],
                  "passesDeadline": False, "readiness": False, "saidFor": 1000.0, "shareFor": 0.0,
                  "signal": "silent"},
    "telemetry": {"fields": [], "via": "silent"}, "worthBy": "work", "zone": 0}
CHECK = "[use_case.claim-check]\ngoal_ms = 1400\ncut_off_ms = 3600\nearnings = 1\npart_without_call = 0.5\n"
FILE = ("[use_case.claim-file]\ngoal_ms = 2300\ncut_off_ms = 5700\nearnings = 2\nlate_part = 0.2\n"
        "repeats = \"numbered\"\nwindow_ms = 16989\n")
WINDOW_MS = 16989.0
CUSTOMERS = "".join("[customer.%s]\nquota_per_s = 20\n" % name for name in TENANTS)
FIRST, SECOND = CHECK + FILE + CUSTOMERS, CHECK + FILE


async def main(record, folder):
    requests, ran = {}, {}

    def plan(id, entry):
        request = requests.get(id)
        if request is None or request["class"] != entry:
            return None
        if request["job"]:
            ran.setdefault(request["job"], []).append((id, request["sent"]))
        return [p.lognormal(0.12 if entry == "claim-check" else 0.19, 0.4) for _ in range(2)]

    control = p.Control(folder, record)
    control.publish("version 1, with customers", FIRST)
    control.start()
    executor = p.Executor(record, plan, lambda id: requests[id].get("answer") is not None)
    await executor.listen()
    database = p.Database(record, lambda: random.uniform(0.02, 0.06))
    await database.listen()
    registry, registry_address = await p.Registry.listen()
    operator = os.path.join(folder, "operator.toml")
    with open(operator, "w") as file:
        file.write('[stream]\ncontrol = ["%s"]\nstore = "%s"\n[stream.trial]\nspan_ms = 5000\n'
                   % (control.address, os.path.join(folder, "n1.store")))
    address = "127.0.0.1:%d" % p.free_port()
    node = p.Node(folder, {
        "name": "n1", "listen": address, "executor": executor.address, "registry": registry_address,
        "db": database.address, "seed": "%016x" % random.getrandbits(64), "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS},
        record, " --operator " + operator)
    node.start()
    try:
        await p.wait_until_up(address, 20.0)
        stub = p.Stub(record, 1, address)
        await stub.connect()
        stopped = asyncio.Event()

        def send(name, job):
            request = {"id": p.new_id(), "class": name, "job": job, "params": {
                "owner": random.choice(TENANTS), "need": round(random.uniform(14, 45), 1),
                "level": round(random.random() * 0.999, 4), "body": p.body("claim")}}
            if job:
                request["params"].update(owner=TENANTS[int(job, 16) % 6], opkey=job, body=p.body("claim " + job))
            requests[request["id"]] = request
            stub.send(request)
            return request

        async def numbered_job():
            """A client whose stub stops waiting for a slow try, and which tries once more."""
            job = p.new_id()
            request = send("claim-file", job)
            end = time.monotonic() + PATIENCE
            while request.get("answer") is None and time.monotonic() < end:
                await asyncio.sleep(0.005)
            if request.get("answer") is None:
                stub.abort(request)
                await asyncio.sleep(random.uniform(*RETRY_AFTER))
                send("claim-file", job)

        tasks = set()

        async def load():
            while not stopped.is_set():
                await asyncio.sleep(random.expovariate(JOBS_PER_S))
                if len(stub.open) >= 30:
                    continue
                if random.random() < 0.41:
                    task = asyncio.get_running_loop().create_task(numbered_job())
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                else:
                    send("claim-check", None)

        sending = asyncio.get_running_loop().create_task(load())
        await asyncio.sleep(20.0)
        record("status:", " | ".join(control.status().split("\n")))
        if TROUBLE:
            control.publish("version 2, without customers", SECOND)
        for _ in range(6):
            await asyncio.sleep(2.0)
            record("status:", " | ".join(control.status().split("\n")))
        stopped.set()
        await sending
        while tasks:
            await asyncio.sleep(1.0)
            send("claim-check", None)
        await asyncio.sleep(6.0)
        if node.process.poll() is not None:
            print("the service instance has ended")
            return 2
    finally:
        node.end()
        control.end()
        registry.close()
    answers = {}
    for request in requests.values():
        answers[request.get("answer")] = answers.get(request.get("answer"), 0) + 1
    twice = {job: runs for job, runs in ran.items()
             if len(runs) > 1 and runs[1][1] - runs[0][1] < WINDOW_MS / 1000.0}
    for job, runs in twice.items():
        record("RULE BROKEN: numbered job", job, "of", requests[runs[0][0]]["params"]["owner"], "was run as",
               " and as ".join(id for id, _ in runs), "%.1f s apart" % (runs[1][1] - runs[0][1]))
    retried = sum(request.get("answer") == "given up" for request in requests.values())
    text = "requests %d, answers %s, numbered jobs run %d, tried again %d, run twice inside their window %d" % (
        len(requests), answers, len(ran), retried, len(twice))
    record(text)
    print(text)
    if not answers.get("served") or not retried:
        return 2
    return 1 if twice else 0


if __name__ == "__main__":
    p.run_case(main, os.path.join(HERE, "record.txt"))
