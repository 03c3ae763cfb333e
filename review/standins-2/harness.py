"""Stand-ins and processes for the cases of the second review: executor, registry, client stub, and the
project's own programs as separate processes. Python's standard library only; loopback addresses only."""

import base64
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
# run.sh turns BROKEN into 1 and everything unknown, such as an error of Python, into 2.
HELD, BROKEN, CANNOT = 0, 41, 2
MAX_PLAY_S = 115
AFTER_CALL_MS = 50
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, one line each, with milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def ms(self):
        return (time.monotonic() - self.started) * 1000

    def __call__(self, text):
        with self.lock:
            self.file.write("%9.1f  %s\n" % (self.ms(), text))
            self.file.flush()


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def free_address():
    return "127.0.0.1:%d" % free_port()


class Registry:
    """Receives heartbeats."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.last = {}
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        while True:
            words = self.socket.recv(512).decode("utf-8", "replace").split()
            if len(words) == 3 and words[0] == "BEAT":
                self.last[words[1]] = words[2]


class Executor:
    """Runs what clients sent. It knows each request that was written to its process, keeps its notices, and answers
    `BAD` to a start of anything else. Each run takes the milliseconds with which its request was announced; a run that
    makes a call makes it then, and ends `AFTER_CALL_MS` after the reply. A run that waits for a call is cut once its
    request is over, and a request that is over is not started."""

    def __init__(self, record, gauges):
        self.record = record
        self.gauges = gauges
        self.lock = threading.RLock()
        self.started = time.monotonic()
        self.requests = {}
        self.over = set()
        self.notices = []
        self.running = {}
        self.waiting = {}
        self.starts = {}
        self.ended = {}
        self.link = None
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(16)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def announce(self, request, job_class, body, run_ms, calls=False):
        """A client is about to write this request to the process."""
        with self.lock:
            self.requests[request] = (job_class, body, run_ms, calls)

    def request_is_over(self, request):
        """The request was answered, or its client has given it up."""
        with self.lock:
            self.over.add(request)
            if self.waiting.pop(request, None):
                self.end(request, "cut")

    def new_process(self):
        """The service instance was killed together with its executor: all runs have ended."""
        with self.lock:
            for timer in self.running.values():
                timer.cancel()
            self.running = {}
            self.waiting = {}
            self.requests = {}
            self.notices = []
            self.started = time.monotonic()
            if self.link:
                try:
                    self.link.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                self.link = None

    def accept(self):
        while True:
            link, _ = self.listener.accept()
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        try:
            for line in link.makefile("rb"):
                self.command(link, json.loads(line))
        except (OSError, ValueError):
            pass
        with self.lock:
            if self.link is link:
                self.link = None
        link.close()

    def send(self, message, link=None):
        link = link or self.link
        if link:
            try:
                link.sendall((json.dumps(message) + "\n").encode())
            except OSError:
                pass

    def notice(self, message):
        message["cursor"] = len(self.notices) + 1
        self.notices.append(message)
        self.send(message)

    def command(self, link, command):
        event, request = command["event"], command.get("handle")
        with self.lock:
            if event == "JOIN":
                if self.link and self.link is not link:
                    try:
                        self.link.shutdown(socket.SHUT_RDWR)
                    except OSError:
                        pass
                self.link = link
                lasted = int((time.monotonic() - self.started) * 1000)
                self.send({"event": "WELCOME", "fate": "new", "lasted": lasted})
                for message in self.notices[command["cursor"]:]:
                    self.send(message)
            elif event == "METER":
                self.send({"event": "METERS", "ticket": command["ticket"], "figures": self.figures()}, link)
            elif event == "EXEC":
                known = self.requests.get(request)
                if known is None or known[:2] != (command["entry"], command["arg"]):
                    self.record("executor BAD %s" % request)
                    self.send({"event": "BAD", "fate": "EXEC", "handle": request}, link)
                elif request in self.over:
                    self.record("executor does not start %s: it is over" % request)
                    self.notice({"event": "EXIT", "handle": request, "fate": "gone", "lasted": 0, "arg": ""})
                elif request not in self.running:
                    self.starts[request] = self.starts.get(request, 0) + 1
                    self.record("executor runs %s %s" % (request, command["entry"]))
                    self.go_on(request, known[2], self.call if known[3] else self.end)
            elif event == "KILL" and request in self.running:
                self.running[request].cancel()
                self.waiting.pop(request, None)
                self.end(request, "cut")
            elif event == "RETURN" and self.waiting.pop(request, None):
                self.go_on(request, AFTER_CALL_MS, self.end)
            elif event == "BYPASS" and self.waiting.get(request) == command["cursor"]:
                del self.waiting[request]
                self.go_on(request, AFTER_CALL_MS, self.end)

    def go_on(self, request, run_ms, then):
        timer = threading.Timer(run_ms / 1000, then, (request,))
        timer.daemon = True
        self.running[request] = timer
        timer.start()

    def call(self, request):
        with self.lock:
            if request in self.over:
                return self.end(request, "cut")
            if request in self.running:
                self.waiting[request] = len(self.notices) + 1
                self.record("executor: %s waits for a call" % request)
                self.notice({"event": "CALLOUT", "handle": request, "arg": result_of(request)})

    def end(self, request, fate="good"):
        with self.lock:
            if self.running.pop(request, None) is None:
                return
            self.ended[request] = fate
            lasted = self.requests[request][2]
            message = {"event": "EXIT", "handle": request, "fate": fate, "lasted": lasted, "arg": ""}
            if fate == "good":
                message["arg"] = result_of(request)
            self.record("executor ended %s %s" % (request, fate))
            self.notice(message)

    def figures(self):
        values = {"core_use": min(1.0, len(self.running) / 6), "on_cores": len(self.running)}
        return [values.get(name, 0.1) for name in self.gauges]


class Database:
    """Takes calls and answers each well after some milliseconds."""

    def __init__(self, record, call_ms=20):
        self.record, self.call_ms = record, call_ms
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        source = connection.makefile("rb")
        try:
            while True:
                words = source.readline().split()
                if not words:
                    return
                if words[0] == b"Q":
                    source.read(int(words[3]) + 2)
                    self.record("database: call of %s" % words[1].decode())
                    reply = b"%s ROWS 4\r\nrows\r\n" % words[1]
                    threading.Timer(self.call_ms / 1000, connection.sendall, (reply,)).start()
        except (OSError, ValueError, IndexError):
            pass


def result_of(request):
    return base64.b64encode(("done " + request).encode()).decode()


def settings(classes=(), customers=()):
    """The settings of a small deployment, in the form of the wire page's example."""
    return {
        "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60636, "maxRetryAfter": 1000.0, "retryAfter": True},
        "classes": list(classes),
        "clients": {"marksRetry": True},
        "customers": list(customers),
        "dcs": ["pavas"],
        "family": "server",
        "fees": {"connection": 0.0, "handshake": 0.0, "lateFail": 0.03, "origin": 0.0, "waste": 0.08},
        "fleetSize": 3,
        "guarantees": {"answerSlack": 60.0, "coldFrom": 0.23, "drainGrace": 1800.0, "fall": 2000.0,
                       "tipMultiple": 8.0, "warmUp": 14000.0},
        "overShareWorth": 0.05,
        "quantum": 2.0,
        "scoreParts": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.25, "worstWindow": 0.15},
        "slotNo": 0,
        "specifics": {"below": "silent", "blowup": 16.0, "callers": 3, "callsByClass": [], "callsOut": 0.0,
                      "callsOver": 5000.0, "classSkipWorth": [], "cold": False, "cores": 6, "fullChecks": False,
                      "halt": "drop", "hangupSeen": True, "idle": 15000.0, "keyKb": 61.52, "linger": 200.0,
                      "memoryKb": 61992.0, "ownStats": ["core_use", "on_cores", "heap_share", "links"],
                      "passesDeadline": False, "readiness": True, "saidFor": 1000.0, "shareFor": 0.0,
                      "signal": "weight"},
        "stage": 0,
        "telemetry": {"fields": ["qps", "inflight"], "via": "piggyback"},
        "tiers": ["agenda-front"],
        "worthBy": "request",
        "zone": 0,
    }


class Processes:
    """The project's programs, started with the command of the deploy file; each is ended by its own id."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="hazelgrade-review-")
        self.children = []

    def path(self, name):
        return os.path.join(self.folder, name)

    def run_command(self):
        for line in open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8"):
            if line.startswith("run = "):
                return json.loads(line.split("=", 1)[1].strip())
        raise OSError("the deploy file has no run command")

    def spawn(self, name, command, environment):
        log = open(self.path(name + ".log"), "ab")
        child = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, **environment},
                                 stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.children.append(child)
        self.record("process %s started" % name)
        return child

    def node(self, name, listen, executor, registry, operator=None, node_settings=None, stop_ms=3200,
             database=None):
        configuration = {
            "name": name, "listen": listen, "executor": executor, "registry": registry,
            "seed": "%016x" % random.getrandbits(64), "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": node_settings or settings()}
        if database is not None:
            configuration["db"] = database
        with open(self.path(name + ".json"), "w", encoding="utf-8") as file:
            json.dump(configuration, file)
        command = self.run_command()
        if operator is not None:
            with open(self.path(name + ".operator.toml"), "w", encoding="utf-8") as file:
                file.write(operator)
            command += " --operator " + self.path(name + ".operator.toml")
        environment = {"PROXY_NAME": name, "PROXY_LISTEN": listen, "PROXY_CONFIG": self.path(name + ".json")}
        return self.spawn(name, command, environment)

    def control(self, name, listen, documents):
        command = "exec target/release/hazelgrade control --documents %s --listen %s --lineage review" % (
            documents, listen)
        return self.spawn(name, command, {})

    def end_all(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def replace_file(path, text):
    with open(path + ".next", "w", encoding="utf-8") as file:
        file.write(text)
    os.rename(path + ".next", path)


class Connection:
    """A client stub's connection. `answers` holds, by request id of the protocol, all that came for it."""

    def __init__(self, record, executor, listen, name):
        self.record, self.executor, self.name = record, executor, name
        host, port = listen.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=5)
        self.socket.settimeout(None)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.last_id = 0
        self.written = {}
        self.requests = {}
        self.answers = {}
        self.draining = False
        self.ended_at = None
        self.reset_requested = False
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        rest = b""
        try:
            while not self.reset_requested:
                if not select.select([self.socket], [], [], 0.005)[0]:
                    continue
                received = self.socket.recv(65536)
                if not received:
                    break
                *lines, rest = (rest + received).split(b"\n")
                for line in lines:
                    self.received(line)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.ended_at = time.monotonic()
            if self.reset_requested:
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.socket.close()
            self.record("%s has ended" % self.name)
            self.changed.notify_all()

    def received(self, line):
        message = json.loads(line)
        with self.lock:
            self.record("%s receives %s" % (self.name, line.decode().strip()))
            if message.get("method") == "draining":
                self.draining = True
            elif message.get("id") is not None:
                self.answers.setdefault(message["id"], []).append((time.monotonic(), message))
            self.changed.notify_all()

    def call(self, method, params=None):
        """Writes a message and returns its number on the connection; none if the connection has ended."""
        with self.lock:
            if self.ended_at is not None:
                return None
            self.last_id += 1
            number = self.last_id
            message = {"jsonrpc": "2.0", "id": number, "method": method}
            if params is not None:
                message["params"] = params
            line = json.dumps(message)
            try:
                self.socket.sendall((line + "\n").encode())
            except OSError:
                return None
            self.written[number] = time.monotonic()
            self.record("%s sends %s" % (self.name, line))
            return number

    def job(self, method, run_ms, request=None, calls=False, **more):
        request = request or "%016x" % random.getrandbits(64)
        body = base64.b64encode(("do " + request).encode()).decode() if "body" not in more else more.pop("body")
        if self.executor is not None:
            self.executor.announce(request, method, body, run_ms, calls)
        params = {"req": request, "ts": unix_ms(), "via": 1, "need": 24.5, "level": 0.625, "body": body, **more}
        number = self.call(method, params)
        if number is not None:
            with self.lock:
                self.requests[number] = request
        return number

    def open(self):
        with self.lock:
            return [number for number in self.written if number not in self.answers]

    def answer(self, number, seconds):
        """The first answer to a message, or none if the time is over or the connection has ended."""
        until = time.monotonic() + seconds
        with self.lock:
            while number not in self.answers and self.ended_at is None and time.monotonic() < until:
                self.changed.wait(max(0.001, until - time.monotonic()))
            return self.answers[number][0][1] if number in self.answers else None

    def reset(self):
        """A reset hits the connection from the stub's side; all that is open on it is lost."""
        with self.lock:
            self.reset_requested = True
            while self.ended_at is None:
                self.changed.wait()

    def close(self):
        with self.lock:
            try:
                self.socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def check(listen, record, seconds, good=True):
    """Whether the health check answers as wanted within the time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            connection = Connection(lambda text: None, None, listen, "check")
            answer = connection.answer(connection.call("ping"), 1)
            connection.close()
            if answer and answer.get("result", {}).get("up") is good:
                return True
        except OSError:
            pass
        time.sleep(0.02)
    record("no health check of %s said up = %s within %s s" % (listen, good, seconds))
    return False


def main(folder, play):
    """Plays a case, prints its verdict and ends all that it started."""
    record = Record(folder)
    record("trouble: %s" % TROUBLE)
    if not os.path.exists(os.path.join(ROOT, "target", "release", "hazelgrade")):
        print("cannot run: target/release/hazelgrade is missing")
        sys.exit(CANNOT)
    processes = Processes(record)
    overdue = threading.Timer(MAX_PLAY_S, lambda: (processes.end_all(), print("cannot run: overdue", flush=True),
                                                   os._exit(CANNOT)))
    overdue.daemon = True
    overdue.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT))
    try:
        verdict, text = play(record, processes)
    except Exception as error:  # a case that could not be played is no finding
        verdict, text = CANNOT, "cannot run: %r" % error
    finally:
        for child in processes.children:
            name = child.pid
            record("process %s: exit %s" % (name, child.poll()))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(processes.folder, keep, dirs_exist_ok=True)
        processes.end_all()
    record(text)
    print(text)
    sys.stdout.flush()
    os._exit(verdict)
