"""Callers of the proxy that check what they are answered against what the endpoints saw."""
import asyncio
import random
import time

PROMISES = {"RETRY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}


class Lost(Exception):
    """The connection ended, or no answer came in time."""


class Caller:
    """One session after another on random VMs: reads, writes and transactions on a few items."""

    def __init__(self, number, seed, ports, group, route):
        self.name, self.random = f"c{number}", random.Random(seed * 1000 + number)
        self.ports, self.group, self.route = ports, group, route
        self.count, self.values = 0, {}
        self.outcomes = {"done": 0, "unrun": 0, "unknown": 0, "failed": 0}
        # The position of this session's last acknowledged commit.
        self.own = None

    async def run(self, until):
        while time.monotonic() < until:
            try:
                await self.session(until)
            except (Lost, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def session(self, until):
        port = self.random.choice(self.ports)
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2)
        try:
            self.values, self.own = {}, None
            self.writer.write(f"CONNECT {self.route}-{self.group.name} {self.name}\r\n".encode())
            await self.answer()
            for _ in range(self.random.randint(1, 25)):
                if time.monotonic() >= until:
                    return
                await self.operation()
                await asyncio.sleep(self.random.random() * 0.05)
        finally:
            self.writer.close()

    async def answer(self):
        rows, failure, signature = [], None, None
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), 4)).decode()
            if not line:
                raise Lost
            word, _, rest = line[:-2].partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                failure = rest.partition(" ")[0]
                if failure == "NOSUCHDB":
                    raise Lost
            elif word == "READY":
                return rows, signature, failure, rest.partition(" ")[0]

    async def ask(self, text):
        self.count += 1
        identity = f"{self.name}q{self.count}"
        self.writer.write(f"QUERY {identity} {text}\r\n".encode())
        rows, signature, failure, state = await self.answer()
        if failure is None and signature not in (None, "-") and not signature.startswith(identity + "."):
            self.group.say(f"MIXED: {identity} was answered with {signature}")
        return rows, signature, failure, state

    def item(self):
        item = f"k{self.random.randint(0, 7)}"
        held = ",".join(f"{k}={v}" for k, v in sorted(self.values.items()))
        return f"{item}@{held}" if held else item

    async def operation(self):
        kind = self.random.random()
        if kind < 0.1:
            name, value = self.random.choice("ab"), str(self.random.randint(1, 3))
            _, _, failure, _ = await self.ask(f"SET {name} {value}")
            if failure is None:
                self.values[name] = value
        elif kind < 0.55:
            await self.read()
        elif kind < 0.8:
            await self.write()
        else:
            await self.transaction()

    def owed(self, asked_at):
        """The commits that a read must see: all that were acknowledged before it, on this route of exact reads, and on
        the route of own writes this session's and those of more than 1.5 s ago."""
        limit = asked_at if self.route == "exact" else asked_at - 1.5
        return [(a, p) for at, a, p in self.group.acknowledged if at < limit] + ([self.own] if self.own else [])

    def check_read(self, rows, owed, identity):
        if not rows:
            return
        term, number = (int(x) for x in rows[0].split(" ")[0].split("."))
        for attempt, position in owed:
            if attempt not in self.group.rolled_back and (term, number) < position:
                self.group.say(f"STALE: {identity} read at {term}.{number}, owed {attempt} at {position}")

    async def read(self):
        owed = self.owed(time.monotonic())
        rows, _, failure, _ = await self.ask(f"READ {self.item()}")
        self.outcomes["done" if failure is None else "failed"] += 1
        if failure is None:
            self.check_read(rows, owed, f"{self.name}q{self.count}")

    def settle(self, attempt, failure, signature):
        commit = self.group.commits.get(attempt)
        if failure is None:
            self.outcomes["done"] += 1
            if commit is None:
                self.group.say(f"LOST: {attempt} was acknowledged and never committed")
                return
            _, endpoint, term, led = commit
            if not led:
                self.group.say(f"ONE: {attempt} was committed at {endpoint}, which had been replaced")
            entries = [e for e in self.group.endpoints for e in e.log if e[2] == attempt]
            if entries:
                self.own = (attempt, (entries[0][0], entries[0][1]))
                self.group.acknowledged.append((time.monotonic(), attempt, self.own[1]))
        elif failure in PROMISES:
            self.outcomes["unrun"] += 1
            self.group.promised.add(attempt)
        else:
            self.outcomes["unknown"] += 1

    async def write(self):
        attempt = f"{self.name}w{self.count}"
        _, signature, failure, _ = await self.ask(f"WRITE {self.item()} {attempt}/v{self.count}")
        self.settle(attempt, failure, signature)

    async def transaction(self):
        await self.ask("BEGIN")
        attempt = f"{self.name}t{self.count}"
        failure = None
        for _ in range(self.random.randint(1, 3)):
            _, _, failure, _ = await self.ask(f"READ {self.item()}")
            if failure:
                break
            await asyncio.sleep(self.random.random() * 0.03)
        if failure is None:
            _, _, failure, _ = await self.ask(f"WRITE {self.item()} {attempt}/t{self.count}")
        if failure or self.random.random() < 0.15:
            await self.ask("ROLLBACK")
            self.group.promised.add(attempt)
            return
        _, signature, failure, _ = await self.ask("COMMIT")
        self.settle(attempt, failure, signature)
