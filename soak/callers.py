"""Test clients of the proxy; they check each answer against what the endpoints recorded."""
import asyncio
import random
import time

NOT_EXECUTED_ERRORS = {"RETRY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


class ConnectionLost(Exception):
    """The connection closed before the answer was complete, or the database is unknown (NOSUCHDB)."""


class Caller:
    """Runs one session after another on random VMs, with reads, writes and transactions on eight items."""

    def __init__(self, number, seed, ports, group, route):
        self.name, self.random = f"c{number}", random.Random(seed * 1000 + number)
        self.ports, self.group, self.route = ports, group, route
        self.query_count, self.session_values = 0, {}
        self.outcomes = {"done": 0, "unrun": 0, "unknown": 0, "failed": 0}
        # What it sends for its API key.
        self.credential = self.name
        # This session's last acknowledged commit, as (attempt, position).
        self.last_commit = None

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self.run_session(stop)
            except (ConnectionLost, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def run_session(self, stop):
        port = self.random.choice(self.ports)
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2)
        try:
            self.session_values, self.last_commit = {}, None
            self.writer.write(f"CONNECT {self.route}-{self.group.name} {self.credential}\r\n".encode())
            await self.read_answer()
            for _ in range(self.random.randint(1, 25)):
                if stop.is_set():
                    return
                await self.run_operation()
                await asyncio.sleep(self.random.random() * 0.05)
        finally:
            self.writer.close()

    async def read_answer(self):
        rows, error_code, signature = [], None, None
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), 4)).decode("latin-1")
            if not line:
                raise ConnectionLost
            word, _, rest = line[:-2].partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                error_code = rest.partition(" ")[0]
                if error_code == "NOSUCHDB":
                    raise ConnectionLost
            elif word == "READY":
                return rows, signature, error_code, rest.partition(" ")[0]

    async def send_query(self, text):
        self.query_count += 1
        statement_id = f"{self.name}q{self.query_count}"
        self.group.sent.add(statement_id, text)
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        rows, signature, error_code, state = await self.read_answer()
        if error_code is None and signature not in (None, "-") and not signature.startswith(statement_id + "."):
            self.group.report_violation(f"MIXED: {statement_id} received the answer of {signature}")
        return rows, signature, error_code, state

    def random_item(self):
        item = f"k{self.random.randint(0, 7)}"
        expected_values = ",".join(f"{k}={v}" for k, v in sorted(self.session_values.items()))
        return f"{item}@{expected_values}" if expected_values else item

    async def run_operation(self):
        kind = self.random.random()
        if kind < 0.1:
            name, value = self.random.choice("ab"), str(self.random.randint(1, 3))
            _, _, error_code, _ = await self.send_query(f"SET {name} {value}")
            if error_code is None:
                self.session_values[name] = value
        elif kind < 0.55:
            await self.read()
        elif kind < 0.8:
            await self.write()
        else:
            await self.transaction()

    def required_commits(self, sent_at):
        """Returns the commits that a read sent at `sent_at` must see. On the exact route: every commit acknowledged
        earlier. On the read-your-writes route: this session's last commit and those acknowledged more than 1.5 s
        earlier."""
        acknowledged_before = sent_at if self.route == "exact" else sent_at - 1.5
        return [(a, p) for at, a, p in self.group.acknowledged if at < acknowledged_before] + (
            [self.last_commit] if self.last_commit else [])

    def check_read(self, rows, required_commits, statement_id):
        if not rows:
            return
        term, number = (int(x) for x in rows[0].split(" ")[0].split("."))
        for attempt, position in required_commits:
            if attempt not in self.group.rolled_back and (term, number) < position:
                self.group.report_violation(
                    f"STALE: {statement_id} read at {term}.{number}, but had to include {attempt} at {position}")

    async def read(self):
        required_commits = self.required_commits(time.monotonic())
        rows, _, error_code, _ = await self.send_query(f"READ {self.random_item()}")
        self.outcomes["done" if error_code is None else "failed"] += 1
        if error_code is None:
            self.check_read(rows, required_commits, f"{self.name}q{self.query_count}")

    def record_outcome(self, attempt, error_code, signature):
        commit = self.group.commits.get(attempt)
        if error_code is None:
            self.outcomes["done"] += 1
            if commit is None:
                self.group.report_violation(f"LOST: {attempt} was acknowledged but never committed")
                return
            _, endpoint, term, was_primary = commit
            if not was_primary:
                self.group.report_violation(
                    f"ONE: {attempt} was committed at {endpoint} after that primary had been replaced")
            entries = [e for e in self.group.endpoints for e in e.log if e[2] == attempt]
            if entries:
                self.last_commit = (attempt, (entries[0][0], entries[0][1]))
                self.group.acknowledged.append((time.monotonic(), attempt, self.last_commit[1]))
        elif error_code in NOT_EXECUTED_ERRORS:
            self.outcomes["unrun"] += 1
            self.group.reported_not_executed.add(attempt)
        else:
            self.outcomes["unknown"] += 1

    async def write(self):
        attempt = f"{self.name}w{self.query_count}"
        _, signature, error_code, _ = await self.send_query(f"WRITE {self.random_item()} {attempt}/v{self.query_count}")
        self.record_outcome(attempt, error_code, signature)

    async def transaction(self):
        await self.send_query("BEGIN")
        attempt = f"{self.name}t{self.query_count}"
        error_code = None
        for _ in range(self.random.randint(1, 3)):
            _, _, error_code, _ = await self.send_query(f"READ {self.random_item()}")
            if error_code:
                break
            await asyncio.sleep(self.random.random() * 0.03)
        if error_code is None:
            _, _, error_code, _ = await self.send_query(f"WRITE {self.random_item()} {attempt}/t{self.query_count}")
        if error_code or self.random.random() < 0.15:
            await self.send_query("ROLLBACK")
            self.group.reported_not_executed.add(attempt)
            return
        _, signature, error_code, _ = await self.send_query("COMMIT")
        self.record_outcome(attempt, error_code, signature)


class BusyCaller:
    """Reads in one session after another, each read as soon as the one before has been answered."""

    # A read that was given up on after this time without having reached an endpoint counts as broken off, too.
    LOST_S = 0.2

    def __init__(self, number, port, group):
        self.name, self.port, self.group, self.count = f"b{number}", port, group, 0
        self.credential = self.name

    async def run(self):
        while True:
            try:
                await self.run_session()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    async def run_session(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(f"CONNECT own-{self.group.name} {self.credential}\r\n".encode())
            await self.read_answer(reader)
            while True:
                self.count += 1
                statement_id, sent_at = f"{self.name}q{self.count}", time.monotonic()
                self.group.sent.add(statement_id, "READ k1")
                writer.write(f"QUERY {statement_id} READ k1\r\n".encode())
                try:
                    await self.read_answer(reader)
                except (OSError, asyncio.IncompleteReadError):
                    if statement_id in self.group.arrived or time.monotonic() - sent_at > self.LOST_S:
                        self.group.report_violation(f"LOST: {statement_id} was broken off by a shutdown "
                                                    f"{time.monotonic() - sent_at:.3f} s after it was sent")
                    raise
        finally:
            writer.close()

    async def read_answer(self, reader):
        while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
            pass
