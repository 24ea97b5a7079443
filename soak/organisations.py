"""Organisations in a soak: their API keys, a key that is removed and added again, and a rate limit under a flood."""
import asyncio
import collections
import random
import time

from configuration import Probe

# The users' bound on the operations of an organisation in any window, over all VMs.
WINDOW_S, TOLERATED_SHARE, TOLERATED_OPERATIONS = 5.0, 1.1, 20
RATE, BURST = 30, 30
# The organisation whose key comes and goes, and the marker by which versions of the configuration hold it.
REVOCABLE, REVOCABLE_MARKER = "revocable", "key of revocable"
LIMITED = "limited"
ORGANISATIONS = ("small", "large", LIMITED, REVOCABLE)


def key_of(organisation):
    return f"secret-{organisation}"


def organisation_of(caller):
    """The organisation of a caller, by its name or the id of its statement."""
    if caller[0] == "l":
        return LIMITED
    if caller[0] == "k":
        return REVOCABLE
    return "large" if caller[0] == "c" else "small"


def tenants(markers):
    """The entries of the configuration for a version that holds these markers."""
    entries = [{"name": name, "api_keys": [key_of(name)], "rate_per_s": 100000, "burst": 100000}
               for name in ORGANISATIONS if name != REVOCABLE or REVOCABLE_MARKER in markers]
    for entry in entries:
        if entry["name"] == LIMITED:
            entry["rate_per_s"], entry["burst"] = RATE, BURST
    return entries


class OperationWindow:
    """Counts the operations of the limited organisation that endpoints run, and checks each window."""

    def __init__(self, report_violation):
        self.report_violation, self.times = report_violation, collections.deque()

    def add(self):
        now = time.monotonic()
        self.times.append(now)
        while self.times[0] < now - WINDOW_S:
            self.times.popleft()
        allowed = (RATE * WINDOW_S + BURST) * TOLERATED_SHARE + TOLERATED_OPERATIONS
        if len(self.times) > allowed:
            self.report_violation(f"QUOTA: {len(self.times)} operations within {WINDOW_S} s, {allowed} are allowed")


class KeyProbe(Probe):
    """Keeps sessions open with a key that is removed and added again, and reads from them."""

    def __init__(self, number, changes, soak):
        super().__init__(number, changes, soak)
        self.name = f"k{number}"

    def subject(self):
        return f"own-{self.soak.groups[0].name}", REVOCABLE_MARKER

    def request_count(self):
        return self.random.randint(3, 12)


class FloodCaller:
    """Reads on behalf of the limited organisation, on random VMs, and ignores when it is told to come back."""

    def __init__(self, number, soak):
        self.name, self.soak, self.count, self.done = f"l{number}", soak, 0, 0
        self.random = random.Random(soak.seed * 200 + number)

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self.run_session()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def run_session(self):
        vm, group = self.random.choice(self.soak.vms), self.random.choice(self.soak.groups)
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", vm.callers), 2)
        try:
            writer.write(f"CONNECT own-{group.name} {key_of(LIMITED)}\r\n".encode())
            await self.read_answer(reader)
            for _ in range(30):
                self.count += 1
                statement_id = f"{self.name}q{self.count}"
                group.sent.add(statement_id, "READ k1")
                writer.write(f"QUERY {statement_id} READ k1\r\n".encode())
                self.done += await self.read_answer(reader)
                await asyncio.sleep(0.02)
        finally:
            writer.close()

    async def read_answer(self, reader):
        """Returns whether the statement succeeded."""
        succeeded = True
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 4)
            succeeded = succeeded and not line.startswith(b"ERROR")
            if line.startswith(b"READY"):
                return succeeded
