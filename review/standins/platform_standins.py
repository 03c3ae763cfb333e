"""Stand-ins for what surrounds one service instance: executor, database, registry and client stubs.

They follow PROTOCOL.md. Where that page is silent they behave like a sound peer: the executor starts a run on EXEC
unless that run is going on or the request is over, and it keeps neither results nor keys.
"""

import asyncio
import base64
import json
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))   # ends what was started, see `finally` in each case
ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


class Record:
    """Writes what was sent, answered and run, one line each, with milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def __call__(self, *words):
        self.file.write("%10.2f %s\n" % (self.now(), " ".join(str(word) for word in words)))

    def close(self):
        self.file.flush()
        self.file.close()


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return line.split("=", 1)[1].strip().strip('"')
    raise SystemExit(2)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """One service instance, started as the deploy file says."""

    def __init__(self, folder, configuration, record, arguments=""):
        self.arguments = arguments
        self.path = os.path.join(folder, configuration["name"] + ".json")
        self.configuration = configuration
        self.record = record
        self.folder = folder
        self.write()
        self.process = None

    def write(self):
        with open(self.path + ".next", "w") as file:
            json.dump(self.configuration, file)
        os.rename(self.path + ".next", self.path)

    def start(self):
        environment = dict(os.environ, PROXY_CONFIG=self.path, TMPDIR=self.folder,
                           PROXY_NAME=self.configuration["name"], PROXY_LISTEN=self.configuration["listen"])
        self.log = open(os.path.join(self.folder, self.configuration["name"] + ".log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command() + self.arguments], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record("node started", self.configuration["name"])

    def signal(self, number):
        self.record("signal", signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Control:
    """The project's control service, as the README starts it."""

    def __init__(self, folder, record):
        self.folder, self.record = os.path.join(folder, "documents"), record
        os.mkdir(self.folder)
        self.address = "127.0.0.1:%d" % free_port()
        self.process = None

    def publish(self, name, text):
        path = os.path.join(self.folder, "serving.toml")
        with open(path + ".next", "w") as file:
            file.write(text)
        os.rename(path + ".next", path)
        self.record("published", name)

    def start(self):
        command = run_command().replace(" serve", " control --documents %s --listen %s" % (self.folder, self.address))
        self.log = open(self.folder + ".log", "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)

    def status(self):
        command = run_command().replace(" serve", " status --control %s" % self.address)
        done = subprocess.run(["/bin/sh", "-c", command], cwd=ROOT, capture_output=True, text=True, timeout=10)
        return done.stdout + done.stderr

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Executor:
    """Runs jobs. `plan(request)` gives the segments of a run in seconds; a call stands between two segments."""

    def __init__(self, record, plan, over):
        self.record = record
        self.plan = plan
        self.over = over            # tells whether a request is answered or given up
        self.notices = []
        self.writer = None
        self.queue = None
        self.pump_task = None
        self.runs = {}              # id -> state of the run that goes on
        self.starts = {}            # id -> how often a run was started
        self.started = time.monotonic()
        self.pieces = None          # seconds between two pieces of a line, or None
        self.returns = []           # (id, number of the call, arg that came, arg of the reply)
        self.links = 0
        self.address = None

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        mine = False
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n") or (mine and self.writer is not writer):
                    break
                command = json.loads(line)
                if command["event"] == "JOIN":
                    mine = True
                    self.join(writer, command["cursor"])
                else:
                    self.command(command)
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    def join(self, writer, cursor):
        self.links += 1
        self.record("link", self.links, "JOIN after", cursor)
        self.leave_link()
        self.writer, self.queue = writer, asyncio.Queue()
        self.pump_task = asyncio.get_running_loop().create_task(self.pump(writer, self.queue))
        self.send({"event": "WELCOME", "fate": "new", "lasted": int((time.monotonic() - self.started) * 1000)})
        for notice in self.notices[cursor:]:
            self.send(notice)

    async def pump(self, writer, queue):
        while True:
            line = await queue.get()
            if self.pieces:
                cut = random.randrange(1, len(line))
                writer.write(line[:cut])
                await asyncio.sleep(self.pieces)
                writer.write(line[cut:])
            else:
                writer.write(line)

    def send(self, message):
        if self.queue is not None:
            self.queue.put_nowait((json.dumps(message, separators=(",", ":")) + "\n").encode())

    def notice(self, message):
        message = dict(message, cursor=len(self.notices) + 1)
        self.notices.append(message)
        self.send(message)

    def break_link(self):
        """The link breaks."""
        if self.writer is not None:
            self.record("link", self.links, "breaks")
            self.leave_link()

    def leave_link(self):
        if self.writer is not None:
            self.pump_task.cancel()
            self.writer.transport.abort()
            self.writer, self.queue = None, None

    def command(self, command):
        kind, id = command["event"], command.get("handle")
        if kind == "METER":
            # Six cores; a run that doesn't wait for a call is on a core for six tenths of its time, else at a disk.
            used = min(1.0, 0.6 * sum(run["waits"] is None for run in self.runs.values()) / 6.0)
            self.send({"event": "METERS", "ticket": command["ticket"], "figures": [used, len(self.runs), 0.1, 1]})
        elif kind == "EXEC":
            self.execute(id, command["entry"], command["arg"])
        elif kind in ("RETURN", "BYPASS"):
            run = self.runs.get(id)
            if run is None or run["waits"] is None:
                self.record("BAD", kind, id)
                return self.send({"event": "BAD", "fate": kind, "handle": id})
            if kind == "RETURN":
                self.record("RETURN", id, "call", run["call"], "with", command["arg"][:24])
                self.returns.append((id, run["call"], command["arg"]))
            run["waits"] = None
            self.segment(id)
        elif kind == "KILL":
            self.end(id, "cut")

    def execute(self, id, entry, arg):
        if id in self.runs:
            return self.record("EXEC", id, "runs already")
        if self.over(id):
            self.record("EXEC", id, "is over: gone")
            return self.notice({"event": "EXIT", "handle": id, "fate": "gone", "lasted": 0, "arg": ""})
        plan = self.plan(id, entry)
        if plan is None:
            return self.send({"event": "BAD", "fate": "EXEC", "handle": id})
        self.starts[id] = self.starts.get(id, 0) + 1
        self.record("EXEC", id, entry, "run", self.starts[id], "starts")
        self.runs[id] = {"segments": list(plan), "call": 0, "waits": None, "began": time.monotonic(), "arg": arg}
        self.segment(id)

    def segment(self, id):
        run = self.runs[id]
        asyncio.get_running_loop().call_later(run["segments"].pop(0), self.segment_done, id, run)

    def segment_done(self, id, run):
        if self.runs.get(id) is not run:
            return
        if not run["segments"]:
            return self.end(id, "good")
        run["call"] += 1
        if self.over(id):
            return self.end(id, "cut")
        run["waits"] = len(self.notices) + 1
        arg = base64.b64encode(("call %d of %s" % (run["call"], id)).encode()).decode()
        self.record("CALLOUT", id, "call", run["call"])
        self.notice({"event": "CALLOUT", "handle": id, "arg": arg})

    def end(self, id, fate):
        run = self.runs.pop(id, None)
        if run is None:
            return
        self.record("EXIT", id, fate, "run", self.starts[id])
        result = base64.b64encode(b"result of " + id.encode()).decode() if fate == "good" else ""
        lasted = int((time.monotonic() - run["began"]) * 1000)
        self.notice({"event": "EXIT", "handle": id, "fate": fate, "lasted": lasted, "arg": result})


class Database:
    """Answers each call with its own body after `delay()` seconds."""

    def __init__(self, record, delay):
        self.record, self.delay, self.calls = record, delay, []

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        given_up = set()
        try:
            while True:
                words = (await reader.readline()).split()
                if not words:
                    break
                id = words[1].decode()
                if words[0] == b"X":
                    given_up.add(id)
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                given_up.discard(id)
                self.calls.append((id, body))
                self.record("call", id, body.decode())
                asyncio.get_running_loop().call_later(self.delay(), self.reply, writer, id, body, given_up)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    def reply(self, writer, id, body, given_up):
        if id not in given_up and not writer.is_closing():
            text = b"reply to " + body
            writer.write(b"%s ROWS %d\r\n%s\r\n" % (id.encode(), len(text), text))


class Registry(asyncio.DatagramProtocol):
    """Takes reports."""

    @staticmethod
    async def listen():
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(Registry, local_addr=("127.0.0.1", 0))
        return transport, "127.0.0.1:%d" % transport.get_extra_info("sockname")[1]


class Stub:
    """A client stub with one connection: up to 32 open requests."""

    def __init__(self, record, number, address):
        self.record, self.number, self.address = record, number, address
        self.open, self.last_id, self.writer, self.ended = {}, 0, None, False
        self.draining = False

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        asyncio.get_running_loop().create_task(self.read())

    def send(self, request):
        self.last_id += 1
        request["number"], request["stub"] = self.last_id, self
        self.open[self.last_id] = request
        params = dict(request["params"], req=request["id"], ts=int(time.time() * 1000), via=self.number)
        request["sent"] = time.time()
        self.record("request", request["id"], request["class"], "stub", self.number)
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": request["class"], "params": params}
        self.writer.write((json.dumps(message, separators=(",", ":")) + "\n").encode())

    def abort(self, request):
        if self.open.pop(request["number"], None) is not None:
            request["answer"] = "given up"
            self.record("abort", request["id"])
            message = {"jsonrpc": "2.0", "method": "abort", "params": {"id": request["number"]}}
            self.writer.write((json.dumps(message) + "\n").encode())

    async def read(self):
        try:
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    break
                message = json.loads(line)
                if message.get("method") == "draining":
                    self.draining = True
                    self.record("draining notice, stub", self.number)
                    continue
                request = self.open.pop(message.get("id"), None)
                if request is None:
                    continue
                error = message.get("error")
                answer = "served" if error is None else "refused" if error["code"] == -32066 else "failed"
                request["answer"], request["answered"] = answer, time.time()
                request["body"] = message["result"].get("body") if error is None else None
                self.record("answer", request["id"], answer, "after %.1f ms" % ((time.time() - request["sent"]) * 1000))
        except (ConnectionError, asyncio.CancelledError, ValueError):
            pass
        self.ended = True
        self.record("connection of stub", self.number, "ended;", len(self.open), "open")


async def wait_until_up(address, seconds=10.0):
    """Waits until a health check is answered."""
    host, port = address.split(":")
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            if b'"up":true' in line.replace(b" ", b""):
                return
        except (ConnectionError, asyncio.TimeoutError, OSError):
            pass
        await asyncio.sleep(0.05)
    print("the service instance did not start")
    sys.exit(2)


def lognormal(mean, cv):
    variance = math.log(1.0 + cv * cv)
    return random.lognormvariate(math.log(mean) - variance / 2.0, math.sqrt(variance))


def new_id():
    return "%016x" % random.getrandbits(64)


def body(text):
    return base64.b64encode(text.encode()).decode()


def text(body):
    return repr(base64.b64decode(body).decode())


def run_case(main, record_path):
    """Runs a case and exits with its code: 2 if it failed in itself."""
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        record = Record(record_path)
        try:
            code = asyncio.run(main(record, folder))
        except Exception:
            traceback.print_exc()
        finally:
            record.close()
    sys.exit(code)
