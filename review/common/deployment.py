"""A small deployment for the scripts of this review: VMs of the project, one database group, and a platform.

The VMs are started with the command and the settings template of the deploy file. The platform and the endpoints are the
project's own stand-ins for its soak. All processes and ports are on loopback.
"""
import asyncio
import itertools
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "soak"))
import wire_platform  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A case that takes longer ends its processes and could not run.
LIMIT_S = 105
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The memory of a machine of the small deployments.
MEMORY_MB = 260
GRACE_S = 6
# RULES.md, Own ends: an end within a second of a disruption of the machine, such as a start, doesn't count.
EXCUSED_S = 1.0
RESTART_DELAY_S = 0.5
DATABASE = "register"
ROUTE = {"name": "r-register", "host": DATABASE, "service": "wraps", "route_type": "primary", "max_staleness_ms": 1500,
         "timeout_ms": 1000, "target_latency_ms": 200, "priority": 0}


class CouldNotRun(Exception):
    """The case can't be judged."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.started, self.file = time.monotonic(), open(folder / "record.txt", "w", encoding="utf-8")

    def note(self, text):
        """Notes an event, on the standard output, too."""
        print(self.log(text), flush=True)

    def log(self, text):
        """Notes one message or statement in the file only."""
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        return line


# Below the kernel's range for outgoing connections, so that a port stays free until its process listens on it.
PORTS = itertools.count(os.getpid() * 61)


def free_port():
    while True:
        port = 12000 + next(PORTS) % 20000
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def render(template, fields):
    """Fills in a settings template that has plain placeholders only."""
    def value(match):
        found = fields
        for key in match.group(1).split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Vm:
    """One machine: a process of the deploy file, which the platform starts again when it ends."""

    def __init__(self, number, deployment):
        self.name, self.deployment, self.process = f"front-{number}", deployment, None
        self.zone = f"zone-{'abc'[number % 3]}"
        self.front, self.ready, *self.range = (free_port() for _ in range(4))
        # How often a process ended without a signal of the case, the ends by the memory limit included. Ends within
        # a second of the process's start are counted apart: the rule may excuse them.
        self.own_ends = self.ends_at_start = 0
        self.started_at = 0.0
        self.restarts = True
        self.guard = None

    def settings(self):
        platform = f"127.0.0.1:{self.deployment.platform_port}"
        return {"node_name": self.name, "zone": self.zone, "region": "region", "ip": "127.0.0.1",
                "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
                "port_range": self.range, "platform": {"address": platform}, "cloud_api": {"address": platform},
                "limits": {"cpu_share": 0.25}, "bounds": {"grace_s": GRACE_S}}

    async def start(self):
        path = self.deployment.folder / f"{self.name}.yaml"
        path.write_text(render(self.deployment.template, self.settings()))
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.deployment.command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                     "AMARANTHLANE_BOOT": str(path)})
        self.started_at = time.monotonic()
        self.guard = asyncio.create_task(self.watch(self.process))

    def memory_mb(self):
        """The resident memory of the process, and the most that it ever was."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            sizes = dict(re.findall(r"(VmRSS|VmHWM):\s+(\d+) kB", status))
            return int(sizes["VmRSS"]) / 1024, int(sizes["VmHWM"]) / 1024
        except (OSError, KeyError):
            return 0.0, 0.0

    async def watch(self, process):
        """Does what the platform does: ends a process that exceeds its memory, and starts one that ended again."""
        while process.returncode is None:
            resident, _ = self.memory_mb()
            if resident > MEMORY_MB:
                self.deployment.record.note(
                    f"{self.name}: pid {process.pid} uses {resident:.0f} MB of {MEMORY_MB} MB: the platform ends it")
                process.kill()
                await process.wait()
                break
            try:
                await asyncio.wait_for(asyncio.shield(process.wait()), 0.02)
            except asyncio.TimeoutError:
                pass
        if not self.restarts:
            return
        lived_s = time.monotonic() - self.started_at
        if lived_s > EXCUSED_S:
            self.own_ends += 1
        else:
            self.ends_at_start += 1
        self.deployment.record.note(f"{self.name}: pid {process.pid} has ended with {process.returncode}, {lived_s:.1f} s "
                                    f"after its start; own ends so far: {self.own_ends}, within {EXCUSED_S} s of a "
                                    f"start: {self.ends_at_start}")
        await asyncio.sleep(RESTART_DELAY_S)
        if self.restarts:
            await self.start()

    async def stop(self):
        """Ends the process and the task that would start it again, whatever that is doing."""
        self.restarts = False
        ended_guard = None
        while self.guard is not ended_guard:
            ended_guard = self.guard
            if self.process and self.process.returncode is None:
                self.process.kill()
            if ended_guard:
                await asyncio.wait([ended_guard])

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.1)
        return True


class Deployment:
    """VMs, one database group of three endpoints, and the platform."""

    def __init__(self, record, vms=3, connections=34, sync_replicas=0):
        self.record, self.folder = record, pathlib.Path(tempfile.mkdtemp(prefix="amaranthlane-review-"))
        role = dict(re.findall(r'^(run|template) = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.MULTILINE))
        self.command, self.template = role["run"].split(), (ROOT / role["template"]).read_text()
        self.command[0] = str(ROOT / self.command[0])
        if not os.path.exists(self.command[0]):
            raise CouldNotRun(f"{role['run']} isn't built")
        self.group = wire_platform.Group("wraps", 3, connections)
        self.platform = wire_platform.Platform([self.group])
        self.group.sync_replicas = sync_replicas
        self.connections, self.routes, self.version = connections, [dict(ROUTE)], 3
        # The moment of the start of each endpoint, in milliseconds.
        self.born = {endpoint.name: int(time.time() * 1000) for endpoint in self.group.endpoints}
        self.platform_port, self.servers, self.tasks = 0, [], []
        self.vms = [Vm(number, self) for number in range(vms)]

    async def listen(self, handler):
        server = await asyncio.start_server(handler, "127.0.0.1", 0, backlog=512, limit=1 << 22)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def start(self):
        self.platform_port = await self.listen(self.platform.serve)
        for endpoint in self.group.endpoints:
            endpoint.port = await self.listen(
                lambda reader, writer, endpoint=endpoint: self.serve_endpoint(endpoint, reader, writer))
        self.tasks.append(asyncio.create_task(self.group.run_replication()))
        self.publish_endpoints()
        self.publish_configuration()
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            if not await vm.await_ready():
                raise CouldNotRun(f"{vm.name} isn't ready after 20 s")

    async def serve_endpoint(self, endpoint, reader, writer):
        if not endpoint.alive:
            writer.transport.abort()
            return
        endpoint.writers.add(writer)
        try:
            await wire_platform.Connection(self.group, endpoint, reader, writer).serve()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            endpoint.writers.discard(writer)
            writer.close()

    def publish_endpoints(self):
        for endpoint in self.group.endpoints:
            self.publish_endpoint(endpoint)

    def publish_endpoint(self, endpoint):
        number = self.group.endpoints.index(endpoint)
        leads = endpoint.is_primary and endpoint is self.group.current_primary()
        self.platform.put("servers", endpoint.name, {
            "service": self.group.name, "address": f"127.0.0.1:{endpoint.port}", "zone": f"zone-{'abc'[number % 3]}",
            "version": "1", "slots": 5, "state": "draining" if endpoint.draining else "ready", "cold_left_ms": 0,
            "sequence": 1, "born": self.born[endpoint.name], "db_role": "primary" if leads else "replica"})

    def publish_configuration(self):
        self.version += 2
        self.platform.put("config", "main", {
            "version": self.version, "routes": self.routes, "limits": {"tx_idle_ms": 5000},
            "services": [{"name": self.group.name, "max_conns": self.connections,
                          "sync_replicas": self.group.sync_replicas}]})

    async def stop(self):
        for vm in self.vms:
            await vm.stop()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Session:
    """A client's session."""

    def __init__(self, vm):
        self.vm, self.reader, self.writer, self.count = vm, None, None, 0

    async def open(self, database=DATABASE, user="u1"):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.vm.front, limit=1 << 22), 2)
        self.writer.write(f"CONNECT {database} {user}\r\n".encode())
        answer = await self.answer()
        if not answer[-1].startswith("READY"):
            raise ConnectionError(answer[-1])
        return self

    async def answer(self, timeout_s=5):
        """The lines up to READY, or up to the end of the session."""
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await asyncio.wait_for(self.reader.readline(), timeout_s)
            if not line:
                lines.append("closed")
                break
            lines.append(line.decode("latin-1").rstrip("\r\n"))
        return lines

    async def ask(self, text, statement_id=None, timeout_s=5):
        self.count += 1
        statement_id = statement_id or f"{id(self) & 0xffffff:06x}{time.monotonic_ns() & 0xffffffff:08x}{self.count:04x}"
        # Noted for the endpoints, which report every other statement.
        self.vm.deployment.group.sent.add(statement_id, text) if text.split(" ")[0] in wire_platform.WORK else None
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        await self.writer.drain()
        return await self.answer(timeout_s)

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def ordinary_request(vm, record):
    """One read by an ordinary client, with the retries that a client has. Returns whether it was answered."""
    for attempt in range(3):
        session = Session(vm)
        try:
            await session.open()
            answer = await session.ask("READ item1")
            if any(line.startswith("COMPLETE") for line in answer):
                return True
            record.note(f"{vm.name}: ordinary read was answered {answer}")
        except (OSError, asyncio.TimeoutError, ConnectionError) as failure:
            record.note(f"{vm.name}: ordinary read failed: {failure!r}")
        finally:
            session.close()
        await asyncio.sleep(0.5)
    return False


def run_case(folder, body):
    """Runs `body(record)`, which returns whether the rule held, and exits as the review asks."""
    record = Record(pathlib.Path(folder))
    record.note(f"TROUBLE={int(TROUBLE)}")

    async def limited():
        # A case that is ended early still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(body(record), LIMIT_S)
    try:
        held = asyncio.run(limited())
    except BaseException as failure:  # An error of the script must not look like a broken rule.
        record.note(f"could not run: {failure!r}")
        sys.exit(COULD_NOT_RUN)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
