"""Changes the configuration during a soak, and checks by which version VMs serve requests."""
import asyncio
import random
import time

# A VM that no fault has affected for CONTACT_S serves no request by an older configuration than the newest that was
# acknowledged IN_FORCE_S before the request. These are the users' bounds at their smallest deployments.
CONTACT_S, IN_FORCE_S = 4.0, 3.0
# A request sent this long after an answer that showed a version isn't served by an older one, whatever fails.
DOWNGRADE_S = 0.25


class Version:
    def __init__(self, number, databases):
        self.number, self.databases, self.acknowledged_at = number, databases, time.monotonic()


class ConfigurationChanges:
    """Adds and removes databases, one with each version, and remembers what each version holds."""

    def __init__(self, platform, groups, seed):
        self.platform, self.groups, self.random = platform, groups, random.Random(seed + 3)
        self.versions, self.violations, self.added = [], [], 0
        # A name in a version's databases that stands for an API key, which is removed and added again; none: no key.
        self.key_marker = None
        # The entries for organisations of a version that holds these names; none: keys are not required.
        self.tenants = None
        # By VM and process: the least version that answers have shown, as (time, index in self.versions).
        self.shown = {}

    def publish(self, databases):
        number = self.versions[-1].number + self.random.randint(1, 3) if self.versions else 1
        self.write(number, databases)
        self.versions.append(Version(number, frozenset(databases)))

    def write_again(self):
        """Writes the newest version again after a restore of the store has lost it."""
        newest = self.versions[-1]
        self.write(newest.number, newest.databases)
        for version in self.versions:
            version.acknowledged_at = min(version.acknowledged_at, time.monotonic())

    def lose(self):
        """Notes which versions the store doesn't have any more."""
        stored = self.platform.objects.get(("config", "main"), {"spec": {"version": 0}})["spec"]["version"]
        for version in self.versions:
            if version.number > stored:
                version.acknowledged_at = float("inf")

    def write(self, number, databases):
        routes = [(f"{host}-{group.name}", kind, group) for group in self.groups
                  for host, kind in (("exact", "primary"), ("own", "read_your_writes"))]
        routes += [(name, "read_your_writes", self.groups[0]) for name in sorted(databases) if " " not in name]
        services = [{"name": group.name, "max_conns": group.connections, "sync_replicas": group.sync_replicas}
                    for group in self.groups]
        organisations = {"tenants": self.tenants(databases)} if self.tenants else {}
        self.platform.put("config", "main", {
            **organisations, "version": number, "services": services, "limits": {"tx_idle_ms": 3000},
            "routes": [{"name": f"r-{host}", "host": host, "route_type": kind, "timeout_ms": 1000,
                        "target_latency_ms": 200, "priority": 1, "service": group.name, "max_staleness_ms": 1500}
                       for host, kind, group in routes]})

    async def run(self):
        while True:
            await asyncio.sleep(0.2 + self.random.random())
            self.change()

    def change(self):
        if self.platform.mode != "up" or self.versions[-1].acknowledged_at == float("inf"):
            return
        databases = set(self.versions[-1].databases)
        if self.key_marker and self.random.random() < 0.3:
            self.publish(databases ^ {self.key_marker})
            return
        if len(databases - {self.key_marker}) < 3 or self.random.random() < 0.5:
            self.added += 1
            databases.add(f"probe{self.added}")
        else:
            databases.remove(self.random.choice(sorted(databases - {self.key_marker})))
        self.publish(databases)

    def candidate(self):
        """A database that was added or removed lately."""
        recent = set().union(*(version.databases for version in self.versions[-8:])) - {self.key_marker}
        return self.random.choice(sorted(recent) or ["never-added"])

    def check(self, vm, process, database, served, sent_at, undisturbed_since):
        """Checks an answer that shows whether the VM serves the database."""
        if vm.process is not process:
            return
        possible = [i for i, version in enumerate(self.versions) if (database in version.databases) == served]
        newest = possible[-1] if possible else -1
        what = f"{vm.name} {'served' if served else 'refused'} {database}, as version " \
               f"{self.versions[newest].number if possible else 'none'} or older says"
        known = [i for at, i in self.shown.get((vm.name, process.pid), []) if sent_at > at + DOWNGRADE_S]
        if known and newest < max(known):
            self.violations.append(f"CONFIG: {what}, after it had shown version {self.versions[max(known)].number}")
        due = [i for i, version in enumerate(self.versions) if version.acknowledged_at + IN_FORCE_S < sent_at]
        if due and newest < due[-1] and sent_at > undisturbed_since + CONTACT_S:
            self.violations.append(f"CONFIG: {what}; version {self.versions[due[-1]].number} was acknowledged more than "
                                   f"{IN_FORCE_S:.0f} s before")
        # A refusal may come from before the database was added as well as from after it was removed, as a process that
        # starts while the store is restored from an older copy may lack many versions. Only a process that has shown a
        # version in between is known to refuse by the removal.
        shown = self.shown.setdefault((vm.name, process.pid), [])
        least = [i for i in possible if i >= max((index for _, index in shown), default=0)]
        if least:
            shown.append((time.monotonic(), least[0]))


class Probe:
    """Opens sessions for databases that were added or removed lately, and reads from them a few times."""

    def __init__(self, number, changes, soak):
        self.name, self.changes, self.soak, self.count = f"p{number}", changes, soak, 0
        self.random = random.Random(soak.seed * 100 + number)

    async def run(self, stop):
        while not stop.is_set():
            try:
                await self.run_session()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)

    def subject(self):
        """The database to open, and the name that stands in the versions that allow it."""
        database = self.changes.candidate()
        return database, database

    def request_count(self):
        return self.random.randint(1, 4)

    async def run_session(self):
        vm, (database, subject) = self.random.choice(self.soak.vms), self.subject()
        process = vm.process
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", vm.callers), 2)
        try:
            requests = [f"CONNECT {database} {self.soak.credential(self.name)}"] + ["READ k1"] * self.request_count()
            for text in requests:
                self.count += 1
                sent_at, undisturbed_since = time.monotonic(), self.soak.undisturbed_since(vm)
                opening = text.startswith("CONNECT")
                if not opening:
                    # The routes of these databases lead to the first group.
                    self.soak.groups[0].sent.add(f"{self.name}q{self.count}", text)
                writer.write(f"{text if opening else f'QUERY {self.name}q{self.count} {text}'}\r\n".encode())
                error, rows = await self.read_answer(reader, opening)
                if error in ("NOSUCHDB", "DENIED") or (error is None and rows):
                    self.changes.check(vm, process, subject, error is None, sent_at, undisturbed_since)
                if error is not None and (opening or error in ("NOSUCHDB", "DENIED")):
                    return
                await asyncio.sleep(self.random.random() * 0.7)
        finally:
            writer.close()

    async def read_answer(self, reader, opening):
        """Reads up to the end of an answer: its READY, a refusal to open the session, or the end of the session after an
        error. What is left unread would be taken for the answer to the next request."""
        rows = 0
        error = None
        while True:
            try:
                line = (await asyncio.wait_for(reader.readuntil(b"\r\n"), 4)).decode("latin-1")
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                if error is None:
                    raise
                return error, rows
            word, _, rest = line[:-2].partition(" ")
            rows += word == "ROW"
            if word == "ERROR":
                error = rest.partition(" ")[0]
            if word == "READY" or (word == "ERROR" and opening):
                return error, rows
