"""Stand-ins for the scripts of review 3: store, hosts, clients, routers.

They follow the users' pages: PROTOCOL.md for packets, flows, hosts, discovery
and the store, DEPLOY.md for the settings and the start of a process. All
addresses are loopback addresses. The standard library is enough.
"""

import http.client
import http.server
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target/release/dragonflytrack")

# Bounds of the small sites, in seconds.
DRAIN = 3.0
CONFIG_APPLY = 3.0
STABLE_WINDOW = 4.0
EVACUATE = 5.0
REORDER = 2.0
GRACE = 6.0
HEARTBEAT = 0.77

# Limit of a run in seconds.
RUN_LIMIT = 115

# The store: its history and the time of an answer in seconds, the size of a page and of a value in bytes.
HISTORY = 20.0
ANSWER_TIME = 0.004
PAGE_BYTES = 1 << 20
VALUE_BYTES = 1 << 20

RST, FIN, SYN, ACK = 1, 2, 16, 32
HEAD = struct.Struct(">BBIIIHHHIII")
# All processes that were started, so that none outlives a script that takes too long.
PROCESSES = []
SUM_KEY = b"known to clients and hosts only"


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet without its data's meaning."""

    def __init__(self, flags, seq, ack, src, sport, dst, dport, echo=0, data=b"", sum_=None):
        self.flags, self.seq, self.ack = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.echo, self.data = echo, data
        self.sum = self.keyed_sum() if sum_ is None else sum_

    def keyed_sum(self):
        head = HEAD.pack(self.flags & ~64, 0, self.seq, self.ack, 0, len(self.data),
                         self.sport, self.dport, ip_number(self.dst), ip_number(self.src), 0)
        return zlib.crc32(SUM_KEY + head + self.data) or 1

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def encode(self):
        return HEAD.pack(self.flags, 0, self.seq, self.ack, self.sum, len(self.data), self.sport,
                         self.dport, ip_number(self.dst), ip_number(self.src), self.echo) + self.data

    @staticmethod
    def decode(buf):
        flags, _, seq, ack, sum_, length, sport, dport, dst, src, echo = HEAD.unpack_from(buf)
        data = buf[HEAD.size:]
        if len(data) != length:
            raise ValueError("length")
        return Packet(flags, seq, ack, ip_text(src), sport, ip_text(dst), dport, echo, data, sum_)


class Record:
    """record.txt: what was sent, answered and run, with times since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lines = []
        self.path = os.path.join(folder, "record.txt")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.lines.append((self.now(), text))

    def close(self):
        with self.lock, open(self.path, "w") as f:
            for at, text in self.lines:
                f.write(f"{at:8.3f} {text}\n")


# ---------------------------------------------------------------- the store


class Store:
    """The platform's metadata store."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.cond = threading.Condition()
        self.objects = {}
        self.events = []
        self.texts = {}
        self.oldest = 0
        self.revision = 100
        self.era = 1
        self.is_away = False
        # How old a list with allowStale is, in seconds.
        self.stale_s = 0.0
        self.states = []
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do(self, method):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                time.sleep(ANSWER_TIME)
                try:
                    status, answer = store.handle(method, self.path, body, self.client_address)
                except Exception:
                    traceback.print_exc()
                    status, answer = 500, {}
                if status is None:
                    self.close_connection = True
                    return
                out = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(out)))
                    self.send_header("Store-Era", str(store.era))
                    self.end_headers()
                    self.wfile.write(out)
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                self.do("GET")

            def do_POST(self):
                self.do("POST")

            def do_PUT(self):
                self.do("PUT")

            def do_DELETE(self):
                self.do("DELETE")

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle(self, method, path, body, client):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.strip("/").split("/")]
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        with self.cond:
            if self.is_away:
                return 503, {}
            if method == "GET" and name:
                found = self.objects.get(kind, {}).get(name)
                return (200, found) if found else (404, {})
            if method == "GET" and "watch" in query:
                return self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            if method == "GET":
                objects, revision = self.objects, self.revision
                if query.get("allowStale") == "1" and self.states:
                    objects, revision = self.as_of(time.monotonic() - self.stale_s)
                return 200, self.page(kind, query.get("after", ""), objects, revision)
        if method == "POST":
            spec = json.loads(body)
            name = spec["meta"]["name"]
            with self.cond:
                if name in self.objects.get(kind, {}):
                    return 409, self.objects[kind][name]
            return 201, self.put(kind, name, spec.get("spec"))
        if method == "PUT":
            with self.cond:
                if name not in self.objects.get(kind, {}):
                    return 404, {}
            return 200, self.put(kind, name, json.loads(body).get("spec"))
        return 404, {}

    def page(self, kind, after, objects, revision):
        """A page of about 500 objects or 1 MB at most."""
        names = sorted(n for n in objects.get(kind, {}) if n > after)
        items, size = [], 0
        for name in names[:500]:
            item = self.encoded(objects[kind][name])
            if items and size + len(item) > PAGE_BYTES:
                break
            items.append(item)
            size += len(item)
        more = b"true" if len(names) > len(items) else b"false"
        return b'{"items":[%s],"more":%s,"storeRevision":%d}' % (b",".join(items), more, revision)

    def as_of(self, at):
        """Returns the objects and the revision that the store had at a time."""
        states = [s for s in self.states if s[0] <= at]
        _, objects, revision = states[-1] if states else self.states[0]
        return objects, revision

    def keep_state(self):
        """Keeps the present state for answers that may be stale."""
        if self.stale_s:
            objects = {k: dict(v) for k, v in self.objects.items()}
            self.states.append((time.monotonic(), objects, self.revision))
            del self.states[:-200]

    def encoded(self, made):
        """Returns the object as JSON, encoded once for each revision."""
        key = id(made)
        if key not in self.texts:
            self.texts[key] = made, json.dumps(made).encode()
        return self.texts[key][1]

    def event(self, kind, made, deleted):
        """Appends an event and drops those that are older than the history."""
        text = b'{"deleted":%s,"object":%s}' % (b"true" if deleted else b"false", self.encoded(made))
        now = time.monotonic()
        self.keep_state()
        self.events.append((self.revision, kind, text, now))
        while self.events and now - self.events[0][3] > HISTORY:
            self.oldest = self.events.pop(0)[0]
        self.cond.notify_all()

    def watch(self, kind, since, wait_ms):
        era = self.era
        now = time.monotonic()
        while self.events and now - self.events[0][3] > HISTORY:
            self.oldest = self.events.pop(0)[0]
        if since > self.revision or since < self.oldest:
            return 410, {}
        until = time.monotonic() + min(wait_ms, 30_000) / 1_000
        while True:
            if self.is_away or self.era != era:
                return None, None
            events = [text for r, k, text, _ in self.events if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[%s],"storeRevision":%d}' % (b",".join(events), self.revision)
            self.cond.wait(left)

    def put(self, kind, name, spec):
        """Creates or replaces an object; the time of return is the acknowledgement."""
        with self.cond:
            old = self.objects.get(kind, {}).get(name)
            if old and old["spec"] == spec:
                return old
            self.revision += 1
            meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False,
                    "created": old["meta"]["created"] if old else self.revision}
            made = {"meta": meta, "spec": spec, "status": None}
            self.objects.setdefault(kind, {})[name] = made
            self.event(kind, made, False)
            return made

    def delete(self, kind, name):
        with self.cond:
            old = self.objects.get(kind, {}).pop(name, None)
            if old is None:
                return
            self.revision += 1
            meta = dict(old["meta"], revision=self.revision)
            self.event(kind, dict(old, meta=meta), True)

    def copy(self):
        """Makes the copy from which a restore starts."""
        with self.cond:
            objects = {k: dict(v) for k, v in self.objects.items()}
            return objects, list(self.events), self.revision

    def restore(self, copy, away_s):
        """The store is away for a moment and comes back from an older copy."""
        with self.cond:
            self.is_away = True
            self.cond.notify_all()
        time.sleep(away_s)
        with self.cond:
            objects, events, revision = copy
            self.objects = {k: dict(v) for k, v in objects.items()}
            self.events, self.revision = list(events), revision
            self.era += 1
            self.is_away = False
            self.keep_state()
            self.cond.notify_all()


# ---------------------------------------------------------------- the hosts


class Host:
    """A host (backend server): its flows, its health address and its entry."""

    def __init__(self, world, key, service, zone, work_s=0.005):
        self.world, self.service, self.zone, self.work_s = world, service, zone, work_s
        self.id = f"i-{key:010x}"
        self.key = key
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1_000)
        self.address = world.host_address()
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.udp.bind(self.address)
        self.tcp = socket.create_server(self.address, backlog=128)
        self.half_open, self.open, self.ended = {}, {}, set()
        self.runs = []
        self.openings = []
        self.resets = []
        self.is_running = True
        self.is_registered = True
        for loop in (self.receive, self.health, self.heartbeat):
            threading.Thread(target=loop, daemon=True).start()

    def spec(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "concurrency": 4, "state": self.state, "warmupLeftMs": 0,
                "sequence": self.sequence, "born": self.born}

    def write_entry(self):
        """Writes the entry, which changes only when more than `sequence` changes."""
        self.sequence += 1
        spec, store = self.spec(), self.world.store
        with store.cond:
            known = store.objects.get("servers", {}).get(self.id)
        if known and dict(known["spec"], sequence=self.sequence) == spec:
            return
        store.put("servers", self.id, spec)

    def heartbeat(self):
        while self.is_running:
            if self.is_registered and not self.world.store.is_away:
                self.write_entry()
            time.sleep(HEARTBEAT)

    def health(self):
        while self.is_running:
            try:
                conn, _ = self.tcp.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_health, args=(conn,), daemon=True).start()

    def serve_health(self, conn):
        with conn:
            conn.settimeout(5)
            try:
                if conn.recv(4096):
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    conn.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            except OSError:
                pass

    def send(self, packet):
        try:
            self.udp.sendto(packet.encode(), (packet.dst, self.world.packet_port))
        except OSError:
            pass

    def receive(self):
        while self.is_running:
            try:
                buf, sender = self.udp.recvfrom(4096)
            except OSError:
                return
            if len(buf) < 40:
                continue
            key = struct.unpack(">Q", buf[:8])[0]
            if key not in (0, self.key):
                continue
            try:
                packet = Packet.decode(buf[8:])
            except (ValueError, struct.error):
                continue
            if not packet.is_genuine():
                self.world.record.write(f"{self.id} got a forged packet from {sender[0]}")
                self.world.forged.append(self.id)
                continue
            self.on_packet(packet, sender[0])

    def reply(self, packet, flags, seq, ack, data=b""):
        return Packet(flags, seq, ack, packet.dst, packet.dport, packet.src, packet.sport,
                      packet.echo, data)

    def on_packet(self, p, vm):
        world, flow = self.world, (p.src, p.sport, p.dst, p.dport)
        if p.flags & SYN:
            seq = random.getrandbits(32)
            self.half_open.setdefault(flow, {})[seq] = vm
            self.openings.append((world.record.now(), flow, vm))
            world.record.write(f"{self.id} ({self.service}, {self.state}) took the opening packet "
                               f"of {flow[0]}:{flow[1]} to {p.dst}:{p.dport} from {vm}")
            self.send(self.reply(p, SYN | ACK, seq, p.seq + 1))
            return
        if flow not in self.open:
            seq = (p.ack - 1) & 0xFFFFFFFF
            if flow in self.half_open and seq in self.half_open[flow]:
                self.open[flow] = {"seq": (seq + 1) & 0xFFFFFFFF, "next": p.seq, "answer": None}
                world.on_opened(flow, self)
            else:
                if not p.flags & (RST | FIN):
                    self.resets.append(flow)
                    world.record.write(f"{self.id} resets {flow[0]}:{flow[1]}, which it does not hold")
                    self.send(self.reply(p, RST, p.ack, p.seq))
                return
        state = self.open[flow]
        state["echo"] = p.echo
        if p.flags & RST:
            del self.open[flow]
        elif p.data:
            if p.seq == state["next"]:
                state["next"] = (p.seq + len(p.data)) & 0xFFFFFFFF
                state["answer"] = None
                threading.Thread(target=self.run, args=(p, flow, state, vm), daemon=True).start()
            elif state["answer"]:
                self.send(state["answer"])
        if p.flags & FIN:
            self.send(self.reply(p, FIN | ACK, state["seq"], p.seq + len(p.data) + 1))
            self.open.pop(flow, None)

    def run(self, p, flow, state, vm):
        request = p.data.decode()
        self.runs.append((self.world.record.now(), request))
        self.world.record.write(f"{self.id} ({self.service}) runs {request}, from {vm}")
        time.sleep(self.work_s)
        data = f"answer to {request} by {self.id}".encode()
        answer = self.reply(p, ACK, state["seq"], state["next"], data)
        state["seq"] = (state["seq"] + len(data)) & 0xFFFFFFFF
        state["answer"] = answer
        self.send(answer)

    def end(self):
        """The process ends: its flows and its sockets are gone."""
        self.is_running = False
        self.is_registered = False
        for s in (self.udp, self.tcp):
            s.close()


# ---------------------------------------------------------------- clients


class Flow:
    """A client's end of a flow."""

    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.reset_by = None
        self.inbox = []
        self.cond = threading.Condition()

    def id(self):
        return (self.client.ip, self.port, *self.route)

    def send(self, flags, data=b"", vm=None):
        w = self.client.world
        vm = vm or w.route(self.id())
        p = Packet(flags, self.seq, self.ack, self.client.ip, self.port, *self.route, self.echo, data)
        if vm:
            self.client.udp.sendto(p.encode(), (vm.ip, w.packet_port))
        return vm

    def wait(self, accept, until):
        """Waits for a packet that `accept` takes, a reset or the time `until`."""
        with self.cond:
            while True:
                for p in self.inbox:
                    if p.flags & RST:
                        self.reset_by = "the system" if p.sum == 0 else "a host"
                        self.inbox.clear()
                        return None
                    if accept(p):
                        self.inbox.remove(p)
                        return p
                left = until - time.monotonic()
                if left <= 0:
                    return None
                self.cond.wait(left)

    def open(self, vm=None):
        """Opens the flow as a client does: copies after 200 and 600 ms, an end after 1.4 s."""
        record = self.client.world.record
        started = time.monotonic()
        first = self.seq
        is_answer = lambda p: p.flags & SYN and p.flags & ACK and p.ack == (first + 1) & 0xFFFFFFFF
        answer = None
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.ack = copy
            self.used = self.send(SYN, vm=vm)
            if copy == 0:
                name = self.used.name if self.used else "nobody"
                record.write(f"client {self.client.ip}:{self.port} sends an opening packet "
                             f"to {self.route[0]}:{self.route[1]} through {name}")
            answer = self.wait(is_answer, started + until)
            if answer or self.reset_by:
                break
        if answer is None:
            why = f"reset by {self.reset_by}" if self.reset_by else "no answer"
            record.write(f"client {self.client.ip}:{self.port} does not get the flow: {why}")
            return False
        self.seq = (first + 1) & 0xFFFFFFFF
        self.ack = (answer.seq + 1) & 0xFFFFFFFF
        self.echo = answer.echo
        self.is_open = True
        self.send(ACK, vm=vm)
        return True

    def request(self, request, deadline_s=2.0, vm=None):
        """Sends a request and returns its answer's text, or None."""
        record, data = self.client.world.record, request.encode()
        until, pause = time.monotonic() + deadline_s, 0.2
        record.write(f"client {self.client.ip}:{self.port} sends {request}")
        end = (self.seq + len(data)) & 0xFFFFFFFF
        answer = None
        while answer is None and not self.reset_by and time.monotonic() < until:
            self.send(ACK, data, vm=vm)
            next_try = min(until, time.monotonic() + pause)
            answer = self.wait(lambda p: p.data and p.ack == end and p.seq == self.ack, next_try)
            pause = min(1.6, pause * 2)
        if answer is None:
            why = f"reset by {self.reset_by}" if self.reset_by else "no answer"
            record.write(f"client {self.client.ip}:{self.port} gets nothing for {request}: {why}")
            return None
        self.seq = end
        self.ack = (self.ack + len(answer.data)) & 0xFFFFFFFF
        self.echo = answer.echo
        self.send(ACK, vm=vm)
        text = answer.data.decode()
        record.write(f"client {self.client.ip}:{self.port} gets '{text}'")
        return text

    def close(self, vm=None):
        if self.is_open and not self.reset_by:
            self.send(FIN | ACK, vm=vm)
        self.is_open = False


class Client:
    """A client machine: one address, a new port for each flow."""

    def __init__(self, world, ip):
        self.world, self.ip = world, ip
        self.flows = {}
        self.ports = itertools.count(random.randrange(20_000, 40_000))
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.udp.bind((ip, world.packet_port))
        threading.Thread(target=self.receive, daemon=True).start()

    def flow(self, route):
        flow = Flow(self, next(self.ports), route)
        self.flows[flow.port] = flow
        return flow

    def receive(self):
        while True:
            try:
                buf, sender = self.udp.recvfrom(4096)
                packet = Packet.decode(buf)
            except OSError:
                return
            except (ValueError, struct.error):
                continue
            flow = self.flows.get(packet.dport)
            if flow is None:
                continue
            if packet.flags & RST:
                by = "the system" if packet.sum == 0 else "a host"
                self.world.record.write(
                    f"client {self.ip}:{packet.dport} gets a reset of {by} from {sender[0]}")
                self.world.on_reset(flow, packet, sender[0])
            with flow.cond:
                flow.inbox.append(packet)
                flow.cond.notify_all()


# ---------------------------------------------------------------- entry VMs


class Vm:
    """A machine that runs `dragonflytrack steer` as the deploy file starts it."""

    def __init__(self, world, name, zone, ip, seeds):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.started_at = None
        self.misses = 2
        self.settings = os.path.join(world.folder, f"{name}.ini")
        self.log = os.path.join(world.folder, f"{name}.log")
        with open(os.path.join(ROOT, "deploy/vm.ini")) as f:
            text = f.read()
        values = {
            "{{node}}": name, "{{zone}}": zone, "{{limits.cpuShare}}": "0.25",
            "{{listen.datagramAddr}}": f"{ip}:{world.packet_port}",
            "{{listen.ready}}": f"{ip}:{world.ready_port}",
            "{{ip}}:{{internalPortRange.0}}": f"{ip}:{world.peer_port}",
            "{{ip}}:9464": f"{ip}:{world.metrics_port}",
            "{{platform.address}}": "%s:%d" % world.store.address,
            "{{seeds}}": ",".join(f"{s}:{world.control_port}" for s in seeds),
            "{{bounds.graceS}}": str(int(GRACE)),
        }
        for name_, value in values.items():
            text = text.replace(name_, value)
        assert "{{" not in text, text
        with open(self.settings, "w") as f:
            f.write(text)

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
               "LANG": os.environ.get("LANG", "C"), "DRAGONFLYTRACK_SETTINGS": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([BINARY, "steer"], cwd=ROOT, env=env, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        PROCESSES.append(self.process)
        self.started_at = self.world.record.now()
        self.world.record.write(f"{self.name} starts")

    def stop(self):
        """SIGTERM, then SIGKILL after the grace time."""
        self.world.record.write(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.world.record.write(f"{self.name} has ended")

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def answers_ready(self):
        try:
            conn = http.client.HTTPConnection(self.ip, self.world.ready_port, timeout=0.4)
            conn.request("GET", "/api/readiness")
            status = conn.getresponse().status
            conn.close()
            return status == 200
        except OSError:
            return False

    def probe_readiness(self):
        while not self.world.is_over:
            ready = self.answers_ready()
            self.misses = 0 if ready else self.misses + 1
            time.sleep(0.5)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, zones, vms_per_zone):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="dragonflytrack-review-")
        self.is_over = False
        self.forged = []
        self.resets = []
        self.opened = {}
        a, b = random.randrange(10, 250), random.randrange(1, 250)
        self.net = f"127.{a}.{b}"
        names = [f"edge-{z}-{i}" for z in zones for i in range(1, vms_per_zone + 1)]
        ips = [f"{self.net}.{10 + n}" for n in range(len(names))]
        self.client_ips = (f"{self.net}.{n}" for n in range(150, 250))
        self.host_ips = (f"{self.net}.{n}" for n in range(60, 150))
        ports = iter(free_ports(self.net, 6))
        (self.packet_port, self.ready_port, self.peer_port, self.metrics_port, self.control_port,
         self.host_port) = ports
        self.store = Store((f"{self.net}.2", free_ports(self.net, 1)[0]), self.record)
        zone_of = lambda name: name.split("-")[1]
        self.vms = [Vm(self, n, zone_of(n), ip, ips[:3]) for n, ip in zip(names, ips)]
        self.hosts = []

    def host_address(self):
        return (next(self.host_ips), self.host_port)

    def client(self):
        return Client(self, next(self.client_ips))

    def on_opened(self, flow, host):
        self.opened.setdefault(flow, (self.record.now(), host))

    def on_reset(self, flow, packet, sender):
        self.resets.append((self.record.now(), flow, packet, sender))

    def route(self, flow):
        """The router: a hash over the VMs in rotation."""
        rotation = [vm for vm in self.vms if vm.misses < 2]
        if len(rotation) * 2 < len(self.vms):
            rotation = [vm for vm in self.vms if vm.process is not None]
        if not rotation:
            return None
        return rotation[zlib.crc32(repr(flow).encode()) % len(rotation)]

    def start_vms(self, wait_s=20):
        for vm in self.vms:
            vm.start()
            threading.Thread(target=vm.probe_readiness, daemon=True).start()
        self.wait(lambda: all(vm.misses == 0 for vm in self.vms), wait_s, "all machines are ready")

    def wait(self, condition, limit_s, what):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError(what)
            time.sleep(0.02)

    def put_config(self, version, routes, services):
        """The operator writes a configuration: routes as (address, port, service)."""
        spec = {
            "version": version,
            "routes": [{"name": f"r-{port}", "host": ip, "pathPrefix": f"/{port}/", "type": "safe",
                        "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 2,
                        "service": service, "maxAttempts": 2} for ip, port, service in routes],
            "services": [{"name": s, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1",
                          "tls": False, "warmupS": 2.0, "warmupPerS": 0.0} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        self.store.put("config", "main", spec)
        self.record.write(f"operator: configuration {version} acknowledged, routes "
                          + ", ".join(f"{ip}:{port}->{s}" for ip, port, s in routes))

    def close(self):
        self.is_over = True
        for vm in self.vms:
            if vm.is_alive():
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        self.store.server.shutdown()
        for host in self.hosts:
            if host.is_running:
                host.end()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(net, count):
    """Returns ports that are free on the addresses of the deployment."""
    found = []
    while len(found) < count:
        port = random.randrange(10_000, 30_000)
        if port in found:
            continue
        try:
            for n in (2, 10, 11, 12, 60, 150):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((f"{net}.{n}", port))
            found.append(port)
        except OSError:
            continue
    return found


def give_up():
    """Ends all processes; the case could not run."""
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
    os._exit(2)


def main(case):
    """Runs `case(folder, trouble)`, which returns the broken promises, and exits as asked:
    1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(BINARY, os.X_OK):
        print("the build of the deploy file is missing")
        os._exit(2)
    timer = threading.Timer(RUN_LIMIT, give_up)
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGTERM, lambda *_: give_up())
    try:
        broken = case(folder, trouble)
    except Exception:
        traceback.print_exc()
        os._exit(2)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} violations" if broken else "the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
