"""A small stand-in for the users' platform: the object store, the promotion call and the endpoints of database groups.

The store can be restored from an older copy of itself: it loses what it has acknowledged since, gives revisions out
again, and raises its era, which each of its answers tells.

It records what the checks need: the promotions, the log of each endpoint, and which attempts committed where.
"""
import asyncio
import json
import random
import re
import time
import urllib.parse

from sent_statements import SentStatements

# A write whose answer is lost may be executed up to this much later, if its condition still holds then.
LATE_WRITE_S = 5

# The store can be restored to a copy of at most this age.
COPY_AGE_S = 20

MAX_MESSAGE_BYTES = 1 << 20
# What an endpoint takes for the end of a message: CR LF, as the wire protocol has it, or more than that.
STRICT_END = re.compile(b"\r\n")
LENIENT_ENDS = [re.compile(b"\r?\n"), re.compile(b"\r\n|\r(?=[^\n])|\n")]
# The statements that begin or end work. The system sends them only for a caller, under the caller's id.
WORK = ("BEGIN", "READ", "WRITE", "EXECUTE", "COMMIT")


class Endpoint:
    """One database instance. Its log is a list of (term, number, attempt, item, data, time appended)."""

    # Replication lag in seconds; time to run a statement in seconds; whether the endpoint is published as draining;
    # share of commits whose connection is closed instead of answered.
    lag_s, work_s, draining, lost_share = 0.01, 0.002, False, 0.0
    # Since when the store has had it as draining; none: it hasn't.
    draining_since = None
    # The store doesn't hear it, though it runs; when the store last heard it; which start of it this is.
    cut_from_store, heard_at, born = False, 0.0, 1
    # What it takes for the end of a message.
    message_end = STRICT_END

    def __init__(self, name, group):
        self.name, self.group = name, group
        self.log, self.term, self.is_primary, self.alive = [], 1, False, True
        self.replication_paused, self.port, self.server, self.writers = False, 0, None, set()

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def has_position(self, position):
        term, number = (int(part) for part in position.split("."))
        last_position = (self.log[-1][0], self.log[-1][1]) if self.log else (0, 0)
        if number == 0:
            return True
        return any(entry[0] == term and entry[1] == number for entry in self.log) and last_position >= (term, number)


class Group:
    """The endpoints of one service, and the records that the checks compare answers with."""

    def __init__(self, name, count, connections):
        # `connections` is the number of connections that each endpoint accepts.
        self.name, self.connections, self.reported_not_executed = name, connections, set()
        self.endpoints = [Endpoint(f"i-{name}{number}", name) for number in range(1, count + 1)]
        self.endpoints[0].is_primary = True
        self.term, self.violations, self.commits, self.promotions = 1, [], {}, []
        # The number of replicas that must have a commit before it is acknowledged: 0 or 1.
        self.sync_replicas = 0
        # The ids of the reads, writes and commits that reached an endpoint, and the highest fencing token of an order.
        self.arrived, self.highest_token = set(), 0
        # Called for each statement that begins work, with the endpoint, the VM or organisation on whose behalf the
        # connection was opened, and the statement's id.
        self.on_work = lambda endpoint, identity, statement_id: None
        self.sent = SentStatements(self.report_violation)
        # Attempts that a promotion rolled back; acknowledged commits as (time, attempt, position).
        self.rolled_back, self.acknowledged = set(), []

    def current_primary(self):
        return max((e for e in self.endpoints if e.is_primary), key=lambda e: e.term)

    def report_violation(self, text):
        self.violations.append(text)

    async def run_replication(self):
        while True:
            current_primary = self.current_primary()
            for endpoint in self.endpoints:
                if endpoint is current_primary or not endpoint.alive or endpoint.replication_paused or \
                        not current_primary.alive:
                    continue
                if endpoint.is_primary and endpoint.term < current_primary.term:
                    endpoint.is_primary = False
                    self.truncate_to_common_prefix(endpoint, current_primary)
                endpoint.term = current_primary.term
                now = time.monotonic()
                visible = [entry for entry in current_primary.log if entry[5] + endpoint.lag_s <= now]
                if len(visible) > len(endpoint.log):
                    self.truncate_to_common_prefix(endpoint, current_primary)
                    endpoint.log = list(visible)
            await asyncio.sleep(0.004)

    def truncate_to_common_prefix(self, endpoint, current_primary):
        common_length = 0
        while common_length < min(len(endpoint.log), len(current_primary.log)) and \
                endpoint.log[common_length][:3] == current_primary.log[common_length][:3]:
            common_length += 1
        endpoint.log = endpoint.log[:common_length]

    async def replicate(self, endpoint, entry):
        """Returns when as many replicas have the entry as a commit waits for."""
        while self.sync_replicas and not any(
                e is not endpoint and e.alive and any(known[:3] == entry[:3] for known in e.log[-200:])
                for e in self.endpoints):
            if not endpoint.alive or not endpoint.is_primary:
                raise ConnectionError("the primary was replaced before a replica had the commit")
            await asyncio.sleep(0.002)

    async def promote(self, name, holder, token):
        if token < self.highest_token:
            self.report_violation(f"ONE: {holder} sent token {token} for {self.name}, after {self.highest_token}")
        self.highest_token = max(self.highest_token, token)
        candidate = next((e for e in self.endpoints if e.name == name and e.alive), None)
        if candidate is None:
            return 409
        if candidate is self.current_primary():
            return 200
        asyncio.create_task(self.apply_promotion(candidate))
        return 200

    async def apply_promotion(self, candidate):
        await asyncio.sleep(0.3)
        if not candidate.alive:
            return
        previous_primary = self.current_primary()
        kept = {entry[2] for entry in candidate.log}
        rolled_back = {entry[2] for entry in previous_primary.log if entry[2] not in kept}
        lost = [attempt for _, attempt, _ in self.acknowledged if attempt in rolled_back]
        if self.sync_replicas and lost:
            self.report_violation(f"LOST: {candidate.name} became primary without {len(lost)} acknowledged commits, "
                                  f"{lost[0]} among them")
        self.rolled_back |= rolled_back
        self.term += 1
        candidate.term, candidate.is_primary = self.term, True
        self.promotions.append((time.monotonic(), candidate.name, self.term))


class Connection:
    """One connection to an endpoint."""

    def __init__(self, group, endpoint, reader, writer):
        self.group, self.endpoint, self.reader, self.writer = group, endpoint, reader, writer
        self.state, self.session_values, self.prepared, self.buffer = "I", {}, {}, []
        self.read_write, self.term, self.answer, self.identity = False, 0, b"", ""
        self.received = b""

    def send(self, *lines):
        position = self.endpoint.position()
        text = "".join(line + "\r\n" for line in lines)
        self.answer = (text + f"READY {self.state} {position}\r\n").encode("latin-1")

    async def read_message(self):
        """Returns the next message without its end, or None if the connection ends or the message is too long."""
        while not (found := self.endpoint.message_end.search(self.received)):
            data = await self.reader.read(1 << 16) if len(self.received) <= MAX_MESSAGE_BYTES else b""
            if not data:
                break
            self.received += data
        length = found.end() if found else len(self.received)
        if length > MAX_MESSAGE_BYTES:
            self.group.report_violation(f"SIZE: {self.identity} sent {self.endpoint.name} a message of {length} bytes or "
                                        f"more: {self.received[:80]!r}")
            return None
        message, self.received = self.received[:found.start() if found else 0], self.received[length:]
        return message.decode("latin-1") if found else None

    async def serve(self):
        while True:
            message = await self.read_message()
            if message is None or not self.endpoint.alive:
                return
            word, _, rest = message.partition(" ")
            if word == "CONNECT":
                fields = rest.split(" ")
                self.identity = fields[1]
                if fields[0] != self.group.name or (len(fields) > 2 and fields[2] != self.endpoint.name):
                    self.writer.write(b"ERROR WRONGNODE -\r\n")
                    return
                if len(self.endpoint.writers) > self.group.connections:
                    self.writer.write(b"ERROR CONNLIMIT -\r\n")
                    return
                await asyncio.sleep(0.002)
                self.send()
                self.writer.write(self.answer)
            elif word == "QUERY":
                statement_id, _, text = rest.partition(" ")
                before = len(self.endpoint.log)
                await self.query(statement_id, text)
                if len(self.endpoint.log) > before and random.random() < self.endpoint.lost_share:
                    self.writer.transport.abort()
                    return
                self.writer.write(self.answer)
            else:
                return
            await self.writer.drain()

    async def query(self, statement_id, text):
        verb, _, rest = text.partition(" ")
        position = None
        if verb == "WAITPOS":
            position, _, text = rest.partition(" ")
            verb, _, rest = text.partition(" ")
        prepared = self.prepared.get(rest.partition(" ")[0]) if verb == "EXECUTE" else None
        if (statement_id != "-" or verb in WORK) and not self.group.sent.check(
                f"{self.endpoint.name} ({self.identity})", statement_id, text, prepared):
            return self.send("ERROR FAIL -")
        if position and not self.endpoint.has_position(position):
            return self.send("ERROR LAGGING -")
        if self.state == "I" and verb in ("BEGIN", "READ", "WRITE", "EXECUTE"):
            self.group.on_work(self.endpoint, self.identity, statement_id)
        handlers = {"STATUS": self.status, "RESET": self.reset, "SET": self.set_value, "PREPARE": self.prepare,
                  "STEPDOWN": self.step_down, "BEGIN": self.begin, "ROLLBACK": self.rollback}
        if verb in handlers:
            return handlers[verb](rest)
        self.group.arrived.add(statement_id)
        await asyncio.sleep(self.endpoint.work_s)
        before = len(self.endpoint.log)
        if verb == "COMMIT":
            self.commit(statement_id)
        else:
            self.run(statement_id, verb, rest)
        if len(self.endpoint.log) > before:
            await self.group.replicate(self.endpoint, self.endpoint.log[-1])

    def status(self, _):
        e = self.endpoint
        role = "primary" if e.is_primary else "replica"
        self.send(f"ROW {role} {e.term} {e.position()} 0 0 0 {len(e.writers)}", "COMPLETE -")

    def reset(self, _):
        self.session_values, self.prepared = {}, {}
        self.send("COMPLETE -")

    def set_value(self, rest):
        name, _, value = rest.partition(" ")
        self.session_values[name] = value
        self.send("COMPLETE -")

    def prepare(self, rest):
        name, mode, statement = rest.split(" ", 2)
        self.prepared[name] = (mode, statement)
        self.send("COMPLETE -")

    def step_down(self, rest):
        if self.endpoint.is_primary and self.endpoint.term < int(rest):
            self.endpoint.is_primary = False
        self.status(rest)

    def begin(self, rest):
        self.read_write = rest != "READ"
        if self.read_write and not self.endpoint.is_primary:
            return self.send(f"ERROR READONLY {self.endpoint.name}")
        self.state, self.term, self.buffer = "T", self.endpoint.term, []
        return self.send("COMPLETE -")

    def rollback(self, _):
        self.state, self.buffer = "I", []
        self.send("COMPLETE -")

    def lost_primary_role(self):
        return self.read_write and self.state == "T" and not (
            self.endpoint.is_primary and self.endpoint.term == self.term)

    def commit(self, statement_id):
        if self.lost_primary_role() and self.buffer:
            self.state, self.buffer = "I", []
            return self.send("ERROR READONLY -")
        for attempt, item, data in self.buffer:
            self.append(attempt, item, data)
        self.state, self.buffer = "I", []
        return self.send(f"COMPLETE {self.signature(statement_id)}")

    def run(self, statement_id, verb, rest):
        mode = verb
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.send("ERROR NOSUCHSTMT -")
            mode = self.prepared[name][0]
        item, _, data = rest.partition(" ")
        # Callers append their session's values to the item, so that each statement shows what the connection must hold.
        expected_values = item.partition("@")[2]
        if expected_values and expected_values != ",".join(f"{k}={v}" for k, v in sorted(self.session_values.items())):
            self.group.report_violation(
                f"PINNED: {statement_id} expects session values {expected_values}, "
                f"but the connection has {self.session_values}")
        if mode == "READ":
            newest = [entry for entry in self.endpoint.log if entry[3] == item.partition("@")[0]]
            value = newest[-1][4] if newest else "-"
            return self.send(f"ROW {self.endpoint.position()} {value}", f"COMPLETE {self.signature(statement_id)}")
        if not self.endpoint.is_primary or self.lost_primary_role():
            return self.send("ERROR READONLY -")
        attempt, _, value = data.partition("/") if "/" in data else (statement_id, "", data)
        if self.state == "T":
            self.buffer.append((attempt, item.partition("@")[0], value))
        else:
            self.append(attempt, item.partition("@")[0], value)
        return self.send(f"COMPLETE {self.signature(statement_id)}")

    def append(self, attempt, item, value):
        e = self.endpoint
        number = (e.log[-1][1] if e.log else 0) + 1
        if any(entry[2] == attempt for entry in e.log):
            self.group.report_violation(f"TWICE: {attempt} was executed a second time at {e.name}")
        e.log.append((e.term, number, attempt, item, value, time.monotonic()))
        self.group.commits[attempt] = (time.monotonic(), e.name, e.term, self.group.current_primary() is e)

    def signature(self, statement_id):
        return f"{statement_id}.{self.endpoint.name}"


# Specs that another writer may leave in the store, as text, since some of them are no JSON values.
ODD_SPECS = ["[" * 250000 + "]" * 250000, '{"service":"g","slots":1e999}', '{"service":"g","zone":"\\ud800"}', "[null]",
             '{"service":"g","address":"127.0.0.1:70000","slots":1,"state":"ready","db_role":"replica"}',
             '{"service":"g","address":"[::1]:1","slots":5,"state":"ready","db_role":"replica"}']


# A list is answered in pages of about this size.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20


class SpecText(str):
    """A spec as another writer spelled it, which need not be a JSON value."""


def encode(document):
    """The document as JSON, in which each SpecText stands as it is."""
    texts = []

    def place(value):
        if isinstance(value, SpecText):
            texts.append(value)
            return f"spec text {len(texts) - 1}"
        if isinstance(value, dict):
            return {name: place(member) for name, member in value.items()}
        return [place(element) for element in value] if isinstance(value, list) else value

    encoded = json.dumps(place(document))
    if texts:
        encoded = re.sub('"spec text ([0-9]+)"', lambda found: texts[int(found.group(1))], encoded)
    return encoded


class Platform:
    """The object store and the promotion call, on one HTTP port."""

    def __init__(self, groups):
        self.groups = {group.name: group for group in groups}
        self.objects, self.revision, self.changed = {}, 1, asyncio.Event()
        # Faults: the mode is up, refuse (each call gets 503) or silent (no answers); lost_share is the share of PUT and
        # POST calls whose answer is lost.
        self.mode, self.lost_share, self.random = "up", 0.0, None
        self.history = []
        self.era = 1
        # The share of writes without an answer that are executed late.
        self.late_share = 0.0
        # States that the store has had, as (time, objects, revision).
        self.copies = [(time.monotonic(), {}, 1)]

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        meta = {"name": name, "revision": self.revision, "created": old["meta"]["created"] if old else self.revision,
                "finalizers": [], "deletion_started": False}
        self.objects[(kind, name)] = {"meta": meta, "spec": spec, "status": None}
        self.history.append((self.revision, kind, {"object": self.objects[(kind, name)], "deleted": False}))
        self.keep_copy()
        self.notify()
        return self.objects[(kind, name)]

    def put_text(self, kind, name, text):
        """Writes an object whose spec has this text."""
        return self.put(kind, name, SpecText(text))

    def delete(self, kind, name):
        self.revision += 1
        removed = self.objects.pop((kind, name))
        removed = {**removed, "meta": {**removed["meta"], "revision": self.revision}}
        self.history.append((self.revision, kind, {"object": removed, "deleted": True}))
        self.keep_copy()
        self.notify()

    def keep_copy(self):
        now = time.monotonic()
        while len(self.copies) > 1 and self.copies[1][0] < now - COPY_AGE_S:
            self.copies.pop(0)
        self.copies.append((now, dict(self.objects), self.revision))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, age_s):
        """Replaces the content by a copy that is `age_s` old, and cuts waiting watches off."""
        copied_at = time.monotonic() - age_s
        while len(self.copies) > 1 and self.copies[-1][0] > copied_at:
            self.copies.pop()
        _, objects, self.revision = self.copies[-1]
        self.objects = dict(objects)
        self.history = [change for change in self.history if change[0] <= self.revision]
        self.era += 1
        self.notify()

    async def leave_odd_entries(self):
        """Rewrites one entry of the directory again and again, as a faulty writer would."""
        while True:
            self.put("servers", "odd", f"odd spec {self.random.randrange(len(ODD_SPECS))}")
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *fields = head.split("\r\n")
                headers = {f.split(":")[0].lower(): f.split(":", 1)[1].strip() for f in fields if ":" in f}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "up" and method in ("PUT", "POST") and target.startswith("/objects") and \
                        self.late_share and self.random.random() < self.late_share:
                    asyncio.get_running_loop().call_later(self.random.random() * LATE_WRITE_S, self.write, method, target,
                                                          body)
                    return
                status, answer = (503, {}) if self.mode == "refuse" else await self.handle(method, target, body, headers)
                if method in ("PUT", "POST") and self.random and self.random.random() < self.lost_share:
                    return
                text = encode(answer)
                for number, spec in enumerate(ODD_SPECS):
                    text = text.replace(f'"odd spec {number}"', spec)
                data = text.encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body, headers):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.strip("/").split("/")
        if parts == ["promotion"]:
            request = json.loads(body)
            return await self.groups[request["service"]].promote(
                request["id"], headers.get("amaranthlane-duty-holder"),
                int(headers.get("amaranthlane-fencing-token", 0))), {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if method == "GET":
            return 200, self.page(kind, query.get("after", ""))
        return self.write(method, target, body)

    def page(self, kind, after):
        """The objects of a kind that follow a name, as many as a list shows at a time."""
        following = sorted(name for k, name in self.objects if k == kind and name > after)
        items, size = [], 0
        for name in following:
            item = self.objects[(kind, name)]
            size += len(item["spec"]) if isinstance(item["spec"], str) else len(json.dumps(item))
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(item)
        return {"items": items, "has_more": len(items) < len(following), "as_of_rev": self.revision}

    def write(self, method, target, body):
        parts = urllib.parse.urlsplit(target).path.strip("/").split("/")
        document = json.loads(body)
        kind, name = parts[1], parts[2] if len(parts) > 2 else document["meta"]["name"]
        found = self.objects.get((kind, name))
        expected = document["meta"].get("revision")
        if method == "POST" and found or (expected and (not found or found["meta"]["revision"] != expected)):
            return 409, found or {}
        return 200, self.put(kind, name, document["spec"])

    async def watch(self, kind, since, wait_s):
        end, era = time.monotonic() + wait_s, self.era
        while True:
            if self.era != era:
                raise ConnectionError("the watch is cut off by the restore")
            if since > self.revision:
                return 410, {}
            events = [event for revision, k, event in self.history if revision > since and k == kind]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "as_of_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
