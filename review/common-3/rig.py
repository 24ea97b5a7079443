"""Starts a small deployment for a case: the platform's stand-in in this process, and daemons as separate processes.

The daemons run the command of deploy/system.toml with settings rendered from its template. Each VM has a loopback
address of its own; all ports of a run are the same on every VM, as on the platform. The store, the promotion call and
the endpoints are those of soak/wire_platform.py.
"""
import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "soak"))

from wire_platform import Connection, Group, Platform  # noqa: E402

GRACE_S = 6
# A case takes less than this.
LIMIT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


def first_address():
    """The number of the first loopback address of this run; runs at the same time get different ones."""
    return 10 + os.getpid() % 200


def free_ports(ip, count):
    ports = []
    for port in range(14000 + os.getpid() % 7000, 32000):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def render(template, fields):
    """Fills in the placeholders of the template; it uses no sections."""
    def value(found):
        node = fields
        for part in found.group(1).split("."):
            node = node[int(part)] if isinstance(node, list) else node[part]
        return str(node)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Link:
    """Forwards to a port. While either end is cut off, bytes are held back; what is held back is lost if its sender
    resets the connection."""

    def __init__(self, cut_off, target_vm, target, source_vm=None):
        # `cut_off` holds the addresses of the VMs that are cut off. The source of a link without one is its caller.
        self.cut_off, self.target_vm, self.target, self.source_vm = cut_off, target_vm, target, source_vm
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        ends = {self.source_vm or writer.get_extra_info("peername")[0], self.target_vm}
        writers = [writer]
        try:
            while ends & self.cut_off:
                await asyncio.sleep(0.02)
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            writers.append(target_writer)
            await asyncio.gather(self.forward(ends, reader, target_writer, writers),
                                 self.forward(ends, target_reader, writer, writers))
        except OSError:
            pass
        finally:
            for open_writer in writers:
                open_writer.close()

    async def forward(self, ends, reader, writer, writers):
        held = asyncio.Queue()
        delivery = asyncio.create_task(self.deliver(ends, held, writer))
        try:
            while data := await reader.read(65536):
                held.put_nowait(data)
            held.put_nowait(b"")
            await delivery
        except (ConnectionError, OSError):
            pass
        finally:
            delivery.cancel()
            for open_writer in writers:
                open_writer.close()

    async def deliver(self, ends, held, writer):
        try:
            while data := await held.get():
                while ends & self.cut_off:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass


class Vm:
    def __init__(self, rig, number, zone):
        self.rig, self.name, self.zone = rig, f"front-{number}", zone
        self.ip = f"127.0.{rig.net}.{number}"
        self.process, self.log = None, rig.folder / f"{self.name}.log"
        self.ended = []

    @property
    def front(self):
        return self.ip, self.rig.ports[0]

    async def start(self):
        fields = {"node_name": self.name, "zone": self.zone, "region": "region-1", "ip": self.ip,
                  "listen": {"front": f"{self.ip}:{self.rig.ports[0]}", "ready": f"{self.ip}:{self.rig.ports[1]}"},
                  "port_range": [self.rig.ports[2], self.rig.ports[3]],
                  "platform": {"address": self.rig.store_address(self)},
                  "cloud_api": {"address": self.rig.promotion_address(self)},
                  "limits": {"cpu_share": 0.25}, "bounds": {"grace_s": GRACE_S}}
        path = self.rig.folder / f"{self.name}.yaml"
        text = render(self.rig.template, fields)
        if self.rig.links:
            # The links tell by the address from which a VM connects which one it is.
            text = text.replace("addresses:\n", f"addresses:\n  source_ip: {self.ip}\n  advertised_peers: 127.0.0.1:"
                                f"{self.rig.links[self.name, 'peers'].port}\n")
        path.write_text(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.rig.command, cwd=ROOT, stdout=output, stderr=output,
                env={**environment, "AMARANTHLANE_BOOT": str(path)})

    def running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        if self.running():
            self.process.send_signal(number)

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def resident_mb(self):
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except (AttributeError, OSError):
            pass
        return 0.0

    async def ready(self):
        """The status of the ready probe; 0: no answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.rig.ports[1]), 1)
        except (OSError, asyncio.TimeoutError):
            return 0
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: vm\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return int(line.split()[1]) if line else 0
        except (OSError, asyncio.TimeoutError, ValueError, IndexError):
            return 0
        finally:
            writer.close()


class Rig:
    """One deployment. `record` collects what was sent, answered and run."""

    def __init__(self, vms, services=1, endpoints=3, max_conns=40, sync_replicas=0, zones=3, with_links=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.net = first_address()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["proxy"]
        self.command = deploy["run"].split()
        self.command[0] = str(ROOT / self.command[0])
        if not pathlib.Path(self.command[0]).exists():
            raise CannotRun(f"{deploy['run']} is not built")
        self.template = (ROOT / deploy["template"]).read_text()
        self.groups = [Group(f"svc{number}", endpoints, max_conns) for number in range(1, services + 1)]
        for group in self.groups:
            group.sync_replicas = sync_replicas
        self.platform = Platform(self.groups)
        self.vms = [Vm(self, number, f"zone-{number % zones}") for number in range(1, vms + 1)]
        self.ports = free_ports(self.vms[0].ip, 4)
        self.lines, self.begin, self.tasks, self.version = [], time.monotonic(), [], 0
        self.published, self.timeout_ms = {}, 1000
        # The addresses of the VMs that are cut off from the store and from each other.
        self.with_links, self.links, self.cut_off = with_links, {}, set()
        # The endpoints that are cut off from the store, but not from the VMs and from each other.
        self.cut_from_store = set()

    def store_address(self, vm):
        link = self.links.get((vm.name, "store"))
        return f"127.0.0.1:{link.port if link else self.store_port}"

    def promotion_address(self, vm):
        return f"127.0.0.1:{self.store_port}"

    async def add_links(self):
        """Puts links between the VMs, and between each VM and the store, so that VMs can be cut off."""
        for vm in self.vms:
            self.links[vm.name, "peers"] = Link(self.cut_off, vm.ip, (vm.ip, self.ports[2]))
            self.links[vm.name, "store"] = Link(self.cut_off, None, ("127.0.0.1", self.store_port), vm.ip)
        await asyncio.gather(*(link.start() for link in self.links.values()))

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.begin:8.3f} s  {text}")

    async def start(self, vms=None):
        """Starts the platform and these VMs, all by default."""
        store = await asyncio.start_server(self.platform.serve, "127.0.0.1", 0)
        self.store_port = store.sockets[0].getsockname()[1]
        if self.with_links:
            await self.add_links()
        for group in self.groups:
            for endpoint in group.endpoints:
                await self.listen(group, endpoint)
            self.tasks.append(asyncio.create_task(group.run_replication()))
        self.publish_configuration()
        self.tasks.append(asyncio.create_task(self.publish_endpoints()))
        await self.start_vms(self.vms if vms is None else vms)

    async def start_vms(self, vms):
        await asyncio.gather(*(vm.start() for vm in vms))
        await self.await_ready(vms)

    def restore(self, age_s):
        """The store is back, from a copy of this age. The operator and the endpoints write again what they wrote."""
        self.platform.restore(age_s)
        self.platform.mode = "up"
        self.note(f"the store is back from a copy that is {age_s} s old, in era {self.platform.era}")
        self.published.clear()
        if self.platform.objects.get(("config", "main"), {"spec": {"version": 0}})["spec"]["version"] < self.version:
            self.version -= 1
            self.publish_configuration()

    async def listen(self, group, endpoint):
        server = await asyncio.start_server(lambda r, w: self.accept(group, endpoint, r, w), "127.0.0.1", endpoint.port)
        endpoint.port, endpoint.server = server.sockets[0].getsockname()[1], server

    async def accept(self, group, endpoint, reader, writer):
        if not endpoint.alive:
            writer.transport.abort()
            return
        endpoint.writers.add(writer)
        try:
            await self.serve_connection(group, endpoint, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            endpoint.writers.discard(writer)
            writer.close()

    async def serve_connection(self, group, endpoint, reader, writer):
        await Connection(group, endpoint, reader, writer).serve()

    def routes(self):
        return [{"name": f"r-{kind}-{group.name}", "host": f"{kind}-{group.name}", "route_type": word,
                 "timeout_ms": self.timeout_ms, "target_latency_ms": 200, "priority": 1, "service": group.name,
                 "max_staleness_ms": 1500}
                for group in self.groups for kind, word in (("exact", "primary"), ("own", "read_your_writes"),
                                                            ("bounded", "bounded_staleness"))]

    def publish_configuration(self):
        self.version += 1
        services = [{"name": group.name, "max_conns": group.connections, "sync_replicas": group.sync_replicas}
                    for group in self.groups]
        self.platform.put("config", "main", {"version": self.version, "services": services, "routes": self.routes(),
                                             "limits": {"tx_idle_ms": 3000}})
        self.note(f"the store has acknowledged version {self.version} of the configuration")

    def entry(self, group, endpoint):
        return {"service": group.name, "address": f"127.0.0.1:{endpoint.port}", "zone": "zone-0", "version": "v1",
                "slots": 5, "state": "draining" if endpoint.draining else "ready", "cold_left_ms": 0, "sequence": 1,
                "db_role": "primary" if endpoint.is_primary else "replica"}

    async def publish_endpoints(self):
        """An endpoint writes its entry when it changes; it goes after three intervals in which the store hears nothing."""
        while True:
            now = time.monotonic()
            for group in self.groups:
                for endpoint in group.endpoints:
                    entry = self.entry(group, endpoint)
                    known = self.published.get(endpoint.name)
                    if endpoint.alive and endpoint not in self.cut_from_store:
                        endpoint.seen_at = now
                        if known != entry and self.platform.mode == "up":
                            self.published[endpoint.name] = entry
                            self.platform.put("servers", endpoint.name, entry)
                    elif known and now > endpoint.seen_at + 3.6 and self.platform.mode == "up":
                        del self.published[endpoint.name]
                        self.platform.delete("servers", endpoint.name)
            await asyncio.sleep(0.05)

    async def await_ready(self, vms, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await vm.ready() == 200 for vm in vms]):
                self.note("all VMs are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the VMs did not become ready")

    def coordination(self):
        found = [document["spec"] for (kind, _), document in self.platform.objects.items() if kind == "coordination"]
        return max(found, key=lambda spec: spec["version"]) if found else None

    async def stop(self):
        # Calls that the daemons have in flight end with them.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
        await asyncio.gather(*(vm.process.wait() for vm in self.vms if vm.process))
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.rows, self.signature, self.error, self.text, self.state = [], None, None, "", None


class Session:
    """A caller's session, as the pages describe a client."""

    def __init__(self, rig, vm, database, name):
        self.rig, self.vm, self.database, self.name, self.count = rig, vm, database, name, 0

    async def open(self, limit_s=2):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.vm.front, limit=2 << 20), limit_s)
        self.writer.write(f"CONNECT {self.database} {self.name}\r\n".encode())
        return await self.answer(limit_s)

    async def answer(self, limit_s):
        answer = Answer()
        while True:
            line = (await asyncio.wait_for(self.reader.readline(), limit_s)).decode("latin-1")
            if not line:
                raise ConnectionError("the connection ended")
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if word == "ROW":
                answer.rows.append(rest)
            elif word == "COMPLETE":
                answer.signature = rest
            elif word == "ERROR":
                answer.error, _, answer.text = rest.partition(" ")
            elif word == "READY":
                answer.state = rest.partition(" ")[0]
                return answer

    async def query(self, text, limit_s=5):
        self.count += 1
        statement_id = f"{self.name}q{self.count}"
        for group in self.rig.groups:
            group.sent.add(statement_id, text)
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
        return await self.answer(limit_s)

    def close(self):
        self.writer.close()


def play(case, folder):
    """Runs `case(rig_factory, trouble)`, writes the record, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rigs = []

    def make(*arguments, **options):
        rigs.append(Rig(*arguments, **options))
        return rigs[-1]

    async def run():
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(make, trouble), LIMIT_S)
        finally:
            for rig in rigs:
                await rig.stop()
    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as failure:
        # Whatever goes wrong in the script itself breaks no rule.
        result = NOT_RUN
        for rig in rigs:
            rig.note(f"the case could not run: {failure!r}")
        if not rigs:
            print(failure)
    lines = [line for rig in rigs for line in rig.lines]
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[result]
    lines.append(verdict)
    (pathlib.Path(folder) / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-15:]))
    sys.exit(result)
