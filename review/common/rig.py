"""Stand-ins and helpers of the review's cases: the platform's store and promotion call, database instances, clients,
links that can be partitioned, and the daemons under review as separate processes.

They follow the platform's pages. Where a page is silent they behave like a sound server, client or platform.
Everything listens on 127.0.0.1, uses free ports and the real clock, and keeps its files in a temporary folder.
"""
import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case ends itself well before its limit of 120 s.
CASE_LIMIT_S = 110

# The small deployment skr-almaty: where its machines and instances are, and its bounds.
VM_ZONES = ["alm-plant", "alm-plant", "alm-depot", "alm-depot", "shy-depot", "tar-office"]
INSTANCE_ZONES = ["alm-plant", "alm-depot", "shy-depot"]
BOUNDS = {"contact_ms": 4000, "drain_ms": 7000, "grace_s": 6, "lost_ms": 200, "config_ms": 3000, "thaw_ms": 300}
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
PROMOTE_S = 0.3
NEW_CONNECTION_S = 0.012
# An old primary steps down this long after it can reach the new one.
OLD_PRIMARY_STEPS_DOWN_S = 1.0


class CannotRun(Exception):
    """The case can't be played here."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (pathlib.Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, text):
        if not self.file.closed:
            self.file.write(f"{self.now():9.4f} {who}: {text}\n")

    def say(self, who, text):
        """Also prints the line."""
        self.write(who, text)
        print(f"{self.now():7.2f} s  {who}: {text}", flush=True)

    def close(self):
        self.file.close()


# Ports below the kernel's range for outgoing connections, so that a port stays free until its daemon listens on it.
PORTS = itertools.count(random.SystemRandom().randrange(18000))


def free_port():
    while True:
        port = 12000 + next(PORTS) % 18000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


# --- The store and the promotion call ---------------------------------------------------------------------------------


async def serve_http(reader, writer, handle):
    """Answers the requests of one connection in turn. `handle` returns a status, a body and further headers."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *fields = head.split("\r\n")
            headers = {f.split(":", 1)[0].lower(): f.split(":", 1)[1].strip() for f in fields if ":" in f}
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            method, target, _ = first.split(" ")
            status, answer = await handle(method, target, headers, body)
            data = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


class Store:
    """The platform's object store."""

    def __init__(self, record):
        self.record, self.objects, self.revision, self.history = record, {}, 1, []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(lambda r, w: serve_http(r, w, self.handle), HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": old["meta"]["created"] if old else self.revision,
                "finalizers": [], "deletion_started": False}
        self.objects[(kind, name)] = {"meta": meta, "spec": spec, "status": None}
        self.note(kind, self.objects[(kind, name)], False)
        return self.objects[(kind, name)]

    def delete(self, kind, name):
        removed = self.objects.pop((kind, name), None)
        if removed:
            self.revision += 1
            self.note(kind, {**removed, "meta": {**removed["meta"], "revision": self.revision}}, True)

    def note(self, kind, changed_object, deleted):
        self.history.append((self.revision, kind, {"object": changed_object, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.strip("/").split("/")]
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        if method == "GET":
            items = [o for (k, n), o in sorted(self.objects.items()) if k == kind and n > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "as_of_rev": self.revision}
        document = json.loads(body)
        name = name or document["meta"]["name"]
        found, expected = self.objects.get((kind, name)), document["meta"].get("revision")
        if method == "POST" and found:
            return 409, found
        if method == "PUT" and not found:
            return 404, {}
        if expected and found["meta"]["revision"] != expected:
            return 409, found
        if kind == "coordination":
            spec = document["spec"]
            self.record.write("store", f"{kind}/{name} written: version {spec['version']}, token "
                                       f"{spec['fencing_token']}, coordinator {spec['members'][0]['vm']}, groups "
                                       f"{json.dumps(spec['groups'])}")
        return (201 if method == "POST" else 200), self.put(kind, name, document["spec"])

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [event for revision, k, event in self.history if revision > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Promotions:
    """The platform's promotion call. It doesn't check the fence, but remembers what it was sent."""

    def __init__(self, record, groups):
        self.record, self.groups = record, {group.name: group for group in groups}
        # (time, service, id, holder, token)
        self.calls = []

    async def start(self):
        self.server = await asyncio.start_server(lambda r, w: serve_http(r, w, self.handle), HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if (method, target) != ("POST", "/promotion"):
            return 404, {}
        document = json.loads(body)
        holder, token = headers["amaranthlane-duty-holder"], int(headers["amaranthlane-fencing-token"])
        status = self.groups[document["service"]].promote(document["id"])
        self.calls.append((self.record.now(), document["service"], document["id"], holder, token))
        self.record.say("platform", f"promotion of {document['id']} in {document['service']}, holder {holder}, "
                                    f"token {token}: {status}")
        return status, {}

    def lower_tokens(self):
        """The calls that carried a lower token than the platform had seen for the service."""
        found, highest = [], {}
        for call in self.calls:
            if call[4] < highest.get(call[1], 0):
                found.append(call)
            highest[call[1]] = max(highest.get(call[1], 0), call[4])
        return found


# --- Database instances -----------------------------------------------------------------------------------------------


class Group:
    """The instances of one service, and what they did."""

    def __init__(self, record, store, name, zones, slots=2, max_conns=28, sync_replicas=0):
        self.record, self.store, self.name = record, store, name
        self.slots, self.max_conns, self.sync_replicas = slots, max_conns, sync_replicas
        self.term = 1
        self.instances = [Instance(self, f"i-{name}-{index}", zone) for index, zone in enumerate(zones)]
        self.instances[0].role = "primary"
        # (time, id, term, entries at that time) of each promotion that took effect.
        self.promoted = []
        # (time, statement id, instance, term, the VM that sent it) of each commit of a write.
        self.commits = []
        # When a read, write or commit arrived, by statement id.
        self.arrivals = {}
        # Called with the instance and the word with which the caller named itself, for each statement or transaction
        # that begins.
        self.on_work = lambda instance, caller: None

    async def start(self):
        for instance in self.instances:
            await instance.start()

    async def replace(self, instance, stay_s=9.0):
        """Planned work: a new instance joins, then the old one drains, and leaves `stay_s` later."""
        new = Instance(self, f"i-{self.name}-{len(self.instances)}", instance.zone)
        new.term, new.log, new.work_s = self.term, list(self.primary().log), instance.work_s
        self.instances.append(new)
        await new.start()
        self.record.say(new.name, "joins as a replica")
        await asyncio.sleep(0.5)
        instance.drain()
        await asyncio.sleep(stay_s)
        instance.leave()

    def primary(self):
        """The instance that leads the newest term."""
        return max((i for i in self.instances if i.role == "primary"), key=lambda i: i.term, default=None)

    def find(self, name):
        return next(i for i in self.instances if i.name == name)

    def promote(self, name):
        chosen = next((i for i in self.instances if i.name == name and i.running), None)
        if chosen is None:
            return 409
        if chosen is not self.primary():
            asyncio.get_running_loop().call_later(PROMOTE_S, self.take_over, chosen)
        return 200

    def take_over(self, chosen):
        former = self.primary()
        if not chosen.running or chosen is former:
            return
        self.term += 1
        chosen.role, chosen.term, chosen.deaf = "primary", self.term, False
        self.promoted.append((self.record.now(), chosen.name, self.term, list(chosen.log)))
        self.record.say(self.name, f"{chosen.name} leads term {self.term} with {len(chosen.log)} entries; "
                                   f"{former.name if former else 'nobody'} led before")
        chosen.publish()
        if former is not None and former.running:
            asyncio.get_running_loop().call_later(OLD_PRIMARY_STEPS_DOWN_S, former.step_down, self.term)


class Instance:
    """One copy of a database. Its log is a list of (term, number, statement id, item, data)."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.role, self.term, self.log = "replica", 1, []
        self.running, self.draining, self.deaf = True, False, False
        # How much later a commit of the primary arrives, and how long a read, write or commit works.
        self.receive_s, self.work_s = 0.001, lambda: 0.005
        self.sequence, self.born = 0, int(time.time() * 1000)
        self.writers, self.arrived = set(), asyncio.Event()
        self.slots = asyncio.Semaphore(group.slots)

    async def start(self):
        self.server = await asyncio.start_server(self.accept, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks = [asyncio.create_task(self.heartbeat()), asyncio.create_task(self.receive())]

    def publish(self):
        if self.running:
            self.sequence += 1
            self.group.store.put("servers", self.name, {
                "service": self.group.name, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.group.slots, "state": "draining" if self.draining else "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born, "db_role": self.role})

    async def heartbeat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.draining = True
        self.publish()
        self.group.record.say(self.name, "reports that it is draining")

    def leave(self):
        self.stop()
        self.group.store.delete("servers", self.name)
        self.group.record.say(self.name, "has left")

    def stop(self):
        """Ends at once; open connections break."""
        self.running = False
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self):
        self.group.record.say(self.name, f"crashes with {len(self.log)} entries")
        self.stop()

    def come_back(self):
        """Starts again with its log: as a replica if another instance leads a newer term."""
        self.running, self.born = True, int(time.time() * 1000)
        leader = self.group.primary()
        if leader is not None and leader is not self:
            self.role, self.term = "replica", leader.term
        self.group.record.say(self.name, f"is back as {self.role}")
        self.publish()

    def step_down(self, term):
        if self.role == "primary" and self.term < term:
            self.role, self.term = "replica", term
            self.group.record.say(self.name, f"steps down for term {term}")
            self.publish()

    async def receive(self):
        """A replica takes the log of the primary over. What the primary doesn't have is rolled back."""
        due = []
        while True:
            await asyncio.sleep(0.001)
            source = self.group.primary()
            if self.role == "primary" or not self.running or self.deaf or source is None or not source.running:
                due = []
                continue
            self.term = source.term
            now = time.monotonic()
            due.append((now + self.receive_s, len(source.log), source))
            while due and due[0][0] <= now:
                _, length, origin = due.pop(0)
                if origin is source:
                    self.follow(source.log[:length])

    def follow(self, other):
        own = len(self.log)
        if own <= len(other) and (own == 0 or other[own - 1] == self.log[-1]):
            if len(other) > own:
                self.log.extend(other[own:])
                self.arrived.set()
                self.arrived = asyncio.Event()
            return
        common = 0
        while common < min(own, len(other)) and self.log[common] == other[common]:
            common += 1
        if common < own and len(other) > common:
            self.group.record.write(self.name, f"rolls back {own - common} entries")
            self.log = list(other)

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def has_position(self, text):
        term, number = (int(part) for part in text.split("."))
        return number == 0 or (bool(self.log) and (self.log[-1][0], self.log[-1][1]) >= (term, number))

    async def accept(self, reader, writer):
        if not self.running:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def commit(self, writes, caller):
        """Appends the writes of `caller` with one number. Returns when as many replicas have them as the service asks for."""
        number = self.log[-1][1] + 1 if self.log else 1
        for statement_id, item, data in writes:
            self.log.append((self.term, number, statement_id, item, data))
            self.group.commits.append((self.group.record.now(), statement_id, self.name, self.term, caller))
        self.group.record.write(self.name, f"commits {[w[0] for w in writes]} of {caller} at {self.term}.{number}")
        entry = self.log[-1]
        while self.group.sync_replicas and not any(
                i is not self and i.running and entry in i.log[-50:] for i in self.group.instances):
            await asyncio.sleep(0.001)


class Connection:
    """One connection to an instance."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.state, self.values, self.prepared = "I", {}, {}
        self.read_only, self.term, self.buffer, self.caller = False, 0, [], ""

    def ready(self, *lines):
        text = "".join(line + "\r\n" for line in lines)
        return f"{text}READY {self.state} {self.instance.position()}\r\n".encode()

    async def serve(self):
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "CONNECT":
                fields = rest.split(" ")
                self.caller = fields[1]
                if fields[0] != self.instance.group.name or fields[2:] not in ([], [self.instance.name]):
                    self.writer.write(b"ERROR WRONGNODE -\r\n")
                    return
                if len(self.instance.writers) > self.instance.group.max_conns:
                    self.writer.write(b"ERROR CONNLIMIT -\r\n")
                    return
                async with self.instance.slots:
                    await asyncio.sleep(NEW_CONNECTION_S)
                answer = self.ready()
            elif word == "QUERY":
                statement_id, _, text = rest.partition(" ")
                answer = await self.query(statement_id, text)
            else:
                return
            if not self.instance.running:
                return
            self.writer.write(answer)
            await self.writer.drain()

    async def query(self, statement_id, text):
        verb, _, rest = text.partition(" ")
        if verb == "WAITPOS":
            position, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
            if not self.instance.has_position(position):
                return self.ready("ERROR LAGGING -")
        if self.state == "I" and verb in ("BEGIN", "READ", "WRITE", "EXECUTE"):
            self.instance.group.on_work(self.instance, self.caller)
        if verb == "STATUS":
            i = self.instance
            return self.ready(f"ROW {i.role} {i.term} {i.position()} 0 0 0 {len(i.writers)}", "COMPLETE -")
        if verb == "STEPDOWN":
            self.instance.step_down(int(rest))
            return self.ready(f"ROW {self.instance.role} {self.instance.term} {self.instance.position()} 0 0 0 0",
                              "COMPLETE -")
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return self.ready("COMPLETE -")
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.ready("COMPLETE -")
        if verb == "PREPARE":
            name, mode, _ = rest.split(" ", 2)
            self.prepared[name] = mode
            return self.ready("COMPLETE -")
        if verb == "ROLLBACK":
            self.state, self.buffer = "I", []
            return self.ready("COMPLETE -")
        if self.state == "E":
            return self.ready("ERROR MALFORMED -")
        if verb == "BEGIN":
            if rest != "READ" and self.instance.role != "primary":
                return self.ready(f"ERROR READONLY {self.instance.name}")
            self.state, self.read_only, self.term, self.buffer = "T", rest == "READ", self.instance.term, []
            return self.ready("COMPLETE -")
        self.instance.group.arrivals[statement_id] = self.instance.group.record.now()
        self.instance.group.record.write(self.instance.name, f"runs {statement_id} {text}")
        async with self.instance.slots:
            await asyncio.sleep(self.instance.work_s())
            return await self.run(statement_id, verb, rest)

    def lost_lead(self):
        return self.instance.role != "primary" or (self.state == "T" and self.instance.term != self.term)

    async def run(self, statement_id, verb, rest):
        i = self.instance
        signature = f"COMPLETE {statement_id}.{i.name}"
        if verb == "COMMIT":
            if self.buffer and self.lost_lead():
                self.state, self.buffer = "E", []
                return self.ready(f"ERROR READONLY {i.name}")
            writes, self.state, self.buffer = self.buffer, "I", []
            if writes:
                await i.commit(writes, self.caller)
            return self.ready(signature)
        mode = verb
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.ready("ERROR NOSUCHSTMT -")
            mode = self.prepared[name]
        item, _, data = rest.partition(" ")
        if mode == "READ":
            if self.state == "T" and not self.read_only and self.lost_lead():
                self.state = "E"
                return self.ready(f"ERROR READONLY {i.name}")
            value = next((entry[4] for entry in reversed(i.log) if entry[3] == item), "-")
            return self.ready(f"ROW {value}", signature)
        if self.lost_lead() or (self.state == "T" and self.read_only):
            self.state = "E" if self.state == "T" else "I"
            return self.ready(f"ERROR READONLY {i.name}")
        if self.state == "T":
            self.buffer.append((statement_id, item, data))
        else:
            await i.commit([(statement_id, item, data)], self.caller)
        return self.ready(signature)


# --- Links ------------------------------------------------------------------------------------------------------------


class Link:
    """A path from one machine to a server, which can be partitioned: then nothing arrives in either direction.

    As on a network, bytes and ends of connections that are under way arrive when the partition ends. They are lost if
    their sender resets the connection. A connection that is opened during the partition never comes about.
    """

    def __init__(self, record, name, target_port):
        self.record, self.name, self.target_port = record, name, target_port
        self.open = asyncio.Event()
        self.open.set()
        # Referenced here, as the event loop doesn't keep tasks alive.
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.open.clear()
        self.record.say(self.name, "partitioned")

    def heal(self):
        self.open.set()
        self.record.say(self.name, "the partition ends")

    async def accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        if not self.open.is_set():
            await self.open.wait()
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))
        for end in (writer, target_writer):
            end.close()

    async def forward(self, reader, writer):
        held = asyncio.Queue()
        sender = asyncio.create_task(self.deliver(held, writer))
        self.tasks.add(sender)
        try:
            while data := await reader.read(65536):
                held.put_nowait(data)
            held.put_nowait(b"")
            await sender
        except (ConnectionError, OSError):
            # The sender has reset the connection: what is under way is lost.
            sender.cancel()
            writer.transport.abort()

    async def deliver(self, held, writer):
        try:
            while True:
                data = await held.get()
                await self.open.wait()
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, RuntimeError):
            pass


# --- The daemons under review -----------------------------------------------------------------------------------------


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a.0}} of the deploy file's template."""

    def value(match):
        found = fields
        for key in match.group(1).split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Vm:
    """One daemon, started with the command and the settings of the deploy file."""

    def __init__(self, rig, name, zone):
        self.rig, self.name, self.zone = rig, name, zone
        self.front, self.ready_port, self.peers, self.relay = (free_port() for _ in range(4))
        self.process, self.store_link, self.promotion_link = None, None, None
        self.started_at = 0.0

    async def prepare(self):
        self.store_link = Link(self.rig.record, f"{self.name} to the store", self.rig.store.port)
        self.promotion_link = Link(self.rig.record, f"{self.name} to the promotion call", self.rig.promotions.port)
        await self.store_link.start()
        await self.promotion_link.start()

    async def start(self):
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["proxy"]
        fields = {"node_name": self.name, "zone": self.zone, "region": "kz-south", "ip": HOST,
                  "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready_port}"},
                  "port_range": [self.peers, self.relay], "platform": {"address": f"{HOST}:{self.store_link.port}"},
                  "cloud_api": {"address": f"{HOST}:{self.promotion_link.port}"}, "limits": {"cpu_share": 0.25},
                  "bounds": BOUNDS}
        settings = self.rig.folder / f"{self.name}.yaml"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        output = (self.rig.folder / f"{self.name}.log").open("ab")
        environment = {"PATH": os.environ["PATH"], "AMARANTHLANE_BOOT": str(settings)}
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / role["run"].split()[0]), *role["run"].split()[1:], cwd=ROOT, env=environment, stdout=output,
            stderr=output)
        self.started_at = self.rig.record.now()
        self.rig.record.write(self.name, f"started as process {self.process.pid}")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.rig.record.say(self.name, f"gets {signal.Signals(number).name}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            first = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in first
        except (OSError, asyncio.TimeoutError):
            return False


# --- Clients ----------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self, rows, signature, code, state):
        self.rows, self.signature, self.code, self.state = rows, signature, code, state
        self.succeeded = code is None


class Session:
    """One session of a client."""

    count = 0

    def __init__(self, rig, name):
        Session.count += 1
        self.rig, self.name, self.queries = rig, f"{name}-{Session.count}", 0

    async def open(self, vm, database):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(HOST, vm.front), 2)
        self.writer.write(f"CONNECT {database} {self.name}\r\n".encode())
        return await self.answer(2, opening=True)

    async def query(self, text, statement_id=None, limit_s=5):
        self.queries += 1
        statement_id = statement_id or f"{self.name}.{self.queries}"
        self.rig.record.write(self.name, f"sends {statement_id} {text}")
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        try:
            answer = await self.answer(limit_s)
        except (asyncio.IncompleteReadError, ConnectionError) as end:
            self.rig.record.write(self.name, f"the connection ended before the answer to {statement_id}")
            raise ConnectionError("the connection ended") from end
        self.rig.record.write(self.name, f"{statement_id} answered: {answer.code or 'success'}")
        return answer

    async def answer(self, limit_s, opening=False):
        rows, signature, code = [], None, None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.partition(" ")[0]
            # CONNECT is answered with READY, or with ERROR followed by a close.
            if word == "READY" or (opening and code):
                return Answer(rows, signature, code, rest.partition(" ")[0])

    def close(self):
        self.writer.close()


class Writer:
    """A client that writes in one session after the other, at a steady pace, and remembers what was acknowledged."""

    def __init__(self, rig, vms, database, pause_s):
        self.rig, self.vms, self.database, self.pause_s = rig, vms, database, pause_s
        # (time of the answer, statement id)
        self.acknowledged = []

    async def run(self):
        while True:
            session = Session(self.rig, f"w-{self.database}")
            try:
                opened = await session.open(random.choice(self.vms), self.database)
                while opened.succeeded:
                    session.queries += 1
                    statement_id = f"{session.name}.{session.queries}"
                    answer = await session.query(f"WRITE k{session.queries % 8} d{session.queries}", statement_id)
                    if answer.succeeded:
                        self.acknowledged.append((self.rig.record.now(), statement_id))
                    await asyncio.sleep(self.pause_s)
                    if answer.state != "I":
                        break
                if not opened.succeeded:
                    await asyncio.sleep(0.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
            finally:
                if hasattr(session, "writer"):
                    session.close()


# --- A case -----------------------------------------------------------------------------------------------------------


class Rig:
    """A small deployment: daemons in three zones, the store, the promotion call and some groups of instances."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="amaranthlane-review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store, self.groups, self.vms, self.tasks = Store(self.record), [], [], []
        self.promotions = None

    def add_group(self, name, **settings):
        group = Group(self.record, self.store, name, INSTANCE_ZONES, **settings)
        self.groups.append(group)
        return group

    def configure(self, route_type="read_your_writes", timeout_ms=1200):
        """Writes the operator's configuration: one database for each group."""
        self.store.put("config", "main", {
            "version": 1, "limits": {"tx_idle_ms": 3000},
            "services": [{"name": g.name, "max_conns": g.max_conns, "sync_replicas": g.sync_replicas}
                         for g in self.groups],
            "routes": [{"name": f"r-{g.name}", "host": f"db-{g.name}", "service": g.name, "route_type": route_type,
                        "max_staleness_ms": 2500, "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1}
                       for g in self.groups]})

    async def start(self):
        if not (ROOT / "target/build/platform/amaranthlane-platformd").exists():
            raise CannotRun("the deploy file's build is missing")
        self.promotions = Promotions(self.record, self.groups)
        await self.store.start()
        await self.promotions.start()
        for group in self.groups:
            await group.start()
        for index, zone in enumerate(VM_ZONES):
            self.vms.append(Vm(self, f"front-{zone}-{VM_ZONES[:index].count(zone) + 1}", zone))
        for vm in self.vms:
            await vm.prepare()
        await asyncio.gather(*(vm.start() for vm in self.vms))
        await self.wait_for("all VMs are ready and know all primaries", self.settled, 20)

    async def settled(self):
        record = self.store.objects.get(("coordination", "main"))
        known = record and all(record["spec"]["groups"].get(g.name) for g in self.groups)
        full = record and len(record["spec"]["members"]) >= min(5, len(self.vms))
        return bool(known and full and all([await vm.is_ready() for vm in self.vms]))

    def coordinator(self):
        name = self.store.objects[("coordination", "main")]["spec"]["members"][0]["vm"]
        return next(vm for vm in self.vms if vm.name == name)

    async def wait_for(self, what, condition, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await condition():
                self.record.say("case", what)
                return
            await asyncio.sleep(0.05)
        ended = [vm.name for vm in self.vms if vm.process and vm.process.returncode is not None]
        raise CannotRun(f"not reached in {limit_s} s: {what}; ended: {ended}; record: "
                        f"{json.dumps(self.store.objects.get(('coordination', 'main')))}")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms:
            if vm.process:
                await vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(case_folder, case):
    """Runs `case(rig)`, which returns a list of violations, and exits with the result."""

    async def run():
        rig = Rig(case_folder)
        try:
            violations = await asyncio.wait_for(case(rig), CASE_LIMIT_S)
            for number, violation in enumerate(violations):
                # All of them stand in the record.
                (rig.record.say if number < 5 else rig.record.write)("VIOLATION", violation)
            rig.record.say("case", f"{len(violations)} violations" if violations else "the rule held")
            return BROKEN if violations else HELD
        except Exception as reason:  # pylint: disable=broad-except
            rig.record.say("case", f"could not run: {reason!r}")
            return NOT_RUN
        finally:
            await rig.end()

    async def guarded():
        task = asyncio.ensure_future(run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return NOT_RUN

    loop = asyncio.new_event_loop()
    result = loop.run_until_complete(guarded())
    sys.stdout.flush()
    # Connections of the stand-ins may still be open; nothing is left to be done with them.
    os._exit(result)
