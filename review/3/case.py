"""A numbered job that has run is turned away as never run, after a version that lacks its class."""

import asyncio
import os
import random
import sys
import tempfile
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import platform_standins as p

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS_PER_S = (10.0, 40.0)   # at the first and the second service instance
PATIENCE = 0.25             # seconds after which a client stub stops waiting for a try
RETRY_AFTER = (1.0, 4.0)    # seconds after which its client tries once more, within the window of 16,989 ms

# ub-expense. The classes come from the control service, with the figures of the site file.
TENANTS = ["khangai-trans", "orkhon-build", "selenge-foods", "altai-tours", "gobi-print", "delger-dental"]
SETTINGS = {
    "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfter": 1000.0, "retryAfter": True},
    "classes": [], "clients": {"marksRetry": False}, "customers": [], "dcs": ["bayanzurkh"],
    "family": "server", "fees": {}, "fleetSize": 2,
    "guarantees": {"answerSlack": 100.0, "coldFrom": 0.22, "drainGrace": 2000.0, "fall": 2000.0,
                   "tipMultiple": 8.0, "warmUp": 17000.0},
    "overShareWorth": 0.1, "quantum": 2.0, "slotNo": 1, "stage": 1, "tiers": ["intake", "ledger"],
    "specifics": {"below": "silent", "blowup": 8.0, "callers": 2, "callsByClass": [], "callsOut": 0.0,
                  "callsOver": 5000.0, "classSkipWorth": [], "cold": False, "cores": 6, "fullChecks": False,
                  "halt": "pause", "hangupSeen": True, "idle": 30000.0, "keyKb": 10.0, "linger": 200.0,
                  "memoryKb": 60000.0, "ownStats": ["core_use", "on_cores", "heap_share", "links"],
                  "passesDeadline": False, "readiness": False, "saidFor": 1000.0, "shareFor": 0.0,
                  "signal": "silent"},
    "telemetry": {"fields": [], "via": "silent"}, "worthBy": "work", "zone": 0}
CHECK = "[use_case.claim-check]\ngoal_ms = 1400\ncut_off_ms = 3600\nearnings = 1\ncalls = false\n"
FILE = ("[use_case.claim-file]\ngoal_ms = 2300\ncut_off_ms = 5700\nearnings = 2\nlate_part = 0.2\ncalls = false\n"
        "repeats = \"numbered\"\nwindow_ms = 16989\n")
CUSTOMERS = "".join("[customer.%s]\nquota_per_s = 20\n" % name for name in TENANTS)
FIRST, SECOND = CHECK + FILE + CUSTOMERS, CHECK + CUSTOMERS


async def main(record, folder):
    requests, jobs, ran = {}, {}, {}

    def plan_at(number):
        def plan(id, entry):
            request = requests.get(id)
            if request is None or request["class"] != entry:
                return None
            if request["job"]:
                ran.setdefault(request["job"], []).append((number, id, time.time()))
            return [p.lognormal(0.3, 0.4) if number == 0 else p.lognormal(0.05, 0.4)]
        return plan

    over = lambda id: requests[id].get("answer") is not None
    control = p.Control(folder, record)
    control.publish("version 1, with claim-file", FIRST)
    control.start()
    registry, registry_address = await p.Registry.listen()
    executors, nodes, stubs = [], [], []
    stopped = asyncio.Event()
    refused_after_run, run_elsewhere = [], []
    try:
        for number in (0, 1):
            executor = p.Executor(record, plan_at(number), over)
            await executor.listen()
            executors.append(executor)
            name = "n%d" % (number + 1)
            operator = os.path.join(folder, name + ".toml")
            with open(operator, "w") as file:
                file.write('[stream]\ncontrol = ["%s"]\nstore = "%s"\n[stream.trial]\nspan_ms = 5000\n'
                           % (control.address, os.path.join(folder, name + ".store")))
            address = "127.0.0.1:%d" % p.free_port()
            node = p.Node(folder, {
                "name": name, "listen": address, "executor": executor.address, "registry": registry_address,
                "seed": "%016x" % random.getrandbits(64), "stop_ms": 3200,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS},
                record, " --operator " + operator)
            node.start()
            nodes.append(node)
            await p.wait_until_up(address, 20.0)
            stub = p.Stub(record, number + 1, address)
            await stub.connect()
            stubs.append(stub)

        def send(number, name, job):
            request = {"id": p.new_id(), "class": name, "job": job, "params": {
                "owner": random.choice(TENANTS), "need": round(random.uniform(14, 45), 1),
                "level": round(random.random() * 0.999, 4), "body": p.body("claim")}}
            if job:
                request["params"].update(owner=TENANTS[int(job, 16) % 6], opkey=job, body=p.body("claim " + job))
            requests[request["id"]] = request
            stubs[number].send(request)
            return request

        async def answered(request, seconds):
            end = time.monotonic() + seconds
            while request.get("answer") is None and time.monotonic() < end and not stubs[0].ended:
                await asyncio.sleep(0.005)
            return request.get("answer")

        async def numbered_job(number):
            """A client that tries once more, through a client stub that goes on through its list after a bounce."""
            job = p.new_id()
            request = send(number, "claim-file", job)
            if await answered(request, PATIENCE) is None:
                stubs[number].abort(request)
                await asyncio.sleep(random.uniform(*RETRY_AFTER))
                request = send(number, "claim-file", job)
            await answered(request, 5.9)
            if request.get("answer") != "refused":
                return
            before = [run for run in ran.get(job, []) if run[0] == number and run[2] < request["answered"]]
            if before:
                record("RULE BROKEN: job", job, "was run as", before[0][1], "and turned away as", request["id"])
                refused_after_run.append(job)
                await answered(send(1 - number, "claim-file", job), 5.9)
                if any(run[0] == 1 - number for run in ran[job]):
                    record("job", job, "was run at the other service instance too")
                    run_elsewhere.append(job)

        tasks = set()

        async def load(number):
            while not stopped.is_set():
                await asyncio.sleep(random.expovariate(JOBS_PER_S[number]))
                if len(stubs[number].open) >= 30:
                    continue
                if random.random() < 0.41:
                    task = asyncio.get_running_loop().create_task(numbered_job(number))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                else:
                    send(number, "claim-check", None)

        loads = [asyncio.get_running_loop().create_task(load(number)) for number in (0, 1)]
        await asyncio.sleep(9.0)
        record("status:", " | ".join(control.status().split("\n")))
        if TROUBLE:
            control.publish("version 2, without claim-file", SECOND)
        for _ in range(6):
            await asyncio.sleep(2.0)
            record("status:", " | ".join(control.status().split("\n")))
        stopped.set()
        await asyncio.gather(*loads)
        await asyncio.sleep(7.0)
        if any(node.process.poll() is not None for node in nodes):
            print("a service instance has ended")
            return 2
    finally:
        for node in nodes:
            node.end()
        control.end()
        registry.close()
    answers = {}
    for request in requests.values():
        answers[request.get("answer")] = answers.get(request.get("answer"), 0) + 1
    here_twice = [job for job, runs in ran.items() if len({run[0] for run in runs}) < len(runs)]
    text = "requests %d, answers %s, numbered jobs run %d; turned away after their run %d, run elsewhere then %d" % (
        len(requests), answers, len(ran), len(refused_after_run), len(run_elsewhere))
    record(text, "run twice at one instance:", len(here_twice))
    print(text)
    if not answers.get("served"):
        return 2
    return 1 if refused_after_run or here_twice else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        record = p.Record(os.path.join(HERE, "record.txt"))
        try:
            code = asyncio.run(main(record, folder))
        finally:
            record.close()
    sys.exit(code)
