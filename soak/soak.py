#!/usr/bin/env python3
"""Runs the real daemons under faults drawn from a seed and checks the guarantees to callers. See README.md."""
import argparse
import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from callers import BusyCaller, Caller
from configuration import CONTACT_S, ConfigurationChanges, Probe
from departures import ENTRY_LAPSES_S, Departures
from foreign_entries import ForeignWriter
from hostile_callers import HostileCaller
from links import Link
from organisations import REVOCABLE_MARKER, FloodCaller, KeyProbe, OperationWindow, key_of, organisation_of, tenants
from wire_platform import LENIENT_ENDS, STRICT_END, Connection, Group, Platform

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMON = ROOT / "build" / "platform" / "amaranthlane-platformd"
# An operation must succeed within this time after the last fault has ended.
RECOVERY_S = 6
# A VM that no fault has affected for CONTACT_S sends no new work to an endpoint that has drained for this time. The
# users' bound at their smallest deployments.
DRAIN_S = 7
# The memory of the smallest VMs of the users.
MEMORY_MB = 160
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")


# Ports below the kernel's range for outgoing connections, so that a port stays free until its daemon listens on it. The
# first one depends on the process id, so that concurrent soaks start at different ports.
PORTS = itertools.count(os.getpid() * 97)


def free_port():
    while True:
        port = 12000 + next(PORTS) % 20000
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port


class Vm:
    """One daemon, and the links between it, the store and its peers."""

    def __init__(self, number, folder, daemon):
        self.daemon = daemon
        self.name, self.folder, self.process, self.paused = f"vm-{number}", folder, None, False
        self.callers, self.peers, self.ready, self.relay = (free_port() for _ in range(4))
        self.store_link, self.peer_link = None, Link(f"peers of {self.name}", self.peers)
        self.promotion_link = None
        self.log = folder / f"{self.name}.log"
        # When a fault of the VM or of its links was last in effect.
        self.disturbed_at = 0.0
        self.starting = asyncio.Lock()
        # The process that was sent SIGKILL last.
        self.killed = None
        # The exit codes of processes that ended by themselves.
        self.crashes = []

    async def start(self):
        # Faults that end at the same time must not start the VM twice.
        async with self.starting:
            if self.process and self.process is self.killed:
                # A busy machine may take longer to end the process than the fault lasts.
                await self.process.wait()
            if not self.process or self.process.returncode is not None:
                await self.spawn()

    async def spawn(self):
        settings = {"vm": self.name, "data_centre": f"dc-{int(self.name[3:]) % 3}", "region": "r",
                    "addresses": {"callers": f"127.0.0.1:{self.callers}", "peers": f"127.0.0.1:{self.peers}",
                                  "advertised_peers": f"127.0.0.1:{self.peer_link.port}",
                                  "operators": f"127.0.0.1:{self.ready}", "relay": f"127.0.0.1:{self.relay}",
                                  "platform": f"127.0.0.1:{self.store_link.port}",
                                  "promotion": f"127.0.0.1:{self.promotion_link.port}"},
                    "shutdown": {"grace_ms": 4000}}
        path = self.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings))
        self.note_end()
        output = self.log.open("ab")
        self.disturbed_at = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(str(self.daemon), "--settings", str(path), stdout=output,
                                                            stderr=output)

    def note_end(self):
        """Notes the exit code of a process that ended by itself."""
        if self.process and self.process.returncode not in (None, 0, -signal.SIGKILL):
            self.crashes.append(self.process.returncode)

    def resident_mb(self):
        """The physical memory that the process takes; 0 if it doesn't run."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (AttributeError, OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGESIZE") / (1 << 20)

    def send_signal(self, number):
        if number == signal.SIGKILL:
            self.killed = self.process
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Soak:
    """The run of one seed."""

    def __init__(self, seed, vms, seconds, folder, daemon):
        self.seed, self.seconds, self.folder = seed, seconds, folder
        self.random = random.Random(seed)
        random.seed(seed + 2)
        # With 9 connections for each endpoint, some VMs have to relay their sessions to gateways.
        vms, connections = vms or self.random.choice([5, 7, 9]), self.random.choice([40, 9])
        self.groups = [Group(name, 3, connections) for name in ("g", "h")[:self.random.randint(1, 2)]]
        self.platform = Platform(self.groups)
        self.platform.random = random.Random(seed + 1)
        self.vms = [Vm(number, folder, daemon) for number in range(vms)]
        self.links, self.faults, self.begin = [], [], None
        self.changes = ConfigurationChanges(self.platform, self.groups, seed)
        # When a fault of the store, or of a link that it doesn't share with one VM alone, was last in effect.
        self.store_disturbed_at = 0.0
        self.endpoints = [(group, endpoint) for group in self.groups for endpoint in group.endpoints]
        # Has its own random numbers, so that a seed keeps its other faults.
        self.restore_random = random.Random(seed + 4)
        # The same for the faults of promotion orders and of groups with synchronous replicas.
        self.order_random, self.replica_random = random.Random(seed + 5), random.Random(seed + 6)
        for group in self.groups:
            group.sync_replicas = self.replica_random.randint(0, 1)
        # The same for the endpoints that read leniently.
        reader_random = random.Random(seed + 7)
        for _, endpoint in self.endpoints:
            endpoint.message_end = reader_random.choice([STRICT_END, *LENIENT_ENDS])
        # The same for organisations: in half of the runs keys are required, one is removed now and then, and an
        # organisation with a rate limit sends a flood.
        self.has_organisations = random.Random(seed + 8).random() < 0.5
        self.limited_operations = OperationWindow(self.groups[0].report_violation)
        if self.has_organisations:
            self.changes.tenants, self.changes.key_marker = tenants, REVOCABLE_MARKER
        # The same for the entries of another writer.
        self.foreign_writer = ForeignWriter(self.platform, random.Random(seed + 9), self.note_fault)
        self.departures = Departures(self, free_port)
        # The most memory that each VM's processes have taken.
        self.peak_mb = {vm.name: 0 for vm in self.vms}
        # The directory entries that the endpoints have written, by name.
        self.published = {}
        for group in self.groups:
            group.on_work = self.check_work

    async def start(self):
        store = await asyncio.start_server(self.platform.serve, "127.0.0.1", 0)
        self.store_port = store.sockets[0].getsockname()[1]
        for group, endpoint in self.endpoints:
            server = await asyncio.start_server(lambda r, w, g=group, e=endpoint: self.accept(g, e, r, w),
                                                "127.0.0.1", 0)
            link = Link(f"to {endpoint.name}", server.sockets[0].getsockname()[1])
            await link.start()
            endpoint.link = link
            self.links.append(link)
        for vm in self.vms:
            vm.store_link = Link(f"store of {vm.name}", self.store_port)
            vm.promotion_link = Link(f"promotion call of {vm.name}", self.store_port)
            await vm.store_link.start()
            await vm.promotion_link.start()
            await vm.peer_link.start()
            self.links += [vm.store_link, vm.peer_link]
        self.tasks = [asyncio.create_task(group.run_replication()) for group in self.groups]
        self.tasks.append(asyncio.create_task(self.publish_endpoints()))
        self.tasks.append(asyncio.create_task(self.platform.leave_odd_entries()))
        self.tasks.append(asyncio.create_task(self.foreign_writer.run()))
        self.tasks.append(asyncio.create_task(self.watch_memory()))
        self.changes.publish(())
        self.tasks.append(asyncio.create_task(self.changes.run()))
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def accept(self, group, endpoint, reader, writer):
        if not endpoint.alive:
            writer.transport.abort()
            return
        endpoint.writers.add(writer)
        try:
            await Connection(group, endpoint, reader, writer).serve()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            endpoint.writers.discard(writer)
            writer.close()

    async def publish_endpoints(self):
        while True:
            for group, e in self.endpoints:
                entry = {"service": group.name, "address": f"127.0.0.1:{e.link.port}", "zone": "dc-0", "version": "v1",
                         "slots": 5, "state": "draining" if e.draining else "ready",
                         "db_role": "primary" if e.is_primary else "replica", "born": e.born}
                heard = e.alive and not e.cut_from_store
                e.heard_at = time.monotonic() if heard else e.heard_at
                if heard and self.platform.mode == "up" and self.published.get(e.name) != entry:
                    self.published[e.name] = entry
                    self.platform.put("servers", e.name, entry)
                    e.draining_since = time.monotonic() if e.draining else None
                elif e.name in self.published and self.platform.mode == "up" and \
                        time.monotonic() > e.heard_at + ENTRY_LAPSES_S:
                    del self.published[e.name]
                    self.platform.delete("servers", e.name)
            await asyncio.sleep(0.1)

    async def watch_memory(self):
        """Notes the most memory of each VM, which none of its callers and of the store's writers may drive beyond the limit."""
        while True:
            for vm in self.vms:
                self.peak_mb[vm.name] = max(self.peak_mb[vm.name], vm.resident_mb())
            await asyncio.sleep(0.05)

    def note_fault(self, text):
        self.faults.append(f"{time.monotonic() - self.begin:.2f} s {text}" if self.begin else text)

    def undisturbed_since(self, vm):
        """The time since which no fault has affected the VM, its links or the store."""
        return max(vm.disturbed_at, self.store_disturbed_at)

    def last_disturbance(self):
        """When a fault last affected any VM, its links or the store; in the future while such a fault lasts."""
        return max(self.undisturbed_since(vm) for vm in self.vms)

    def disturb(self, link):
        """Notes that a fault of this link is in effect."""
        for vm in self.vms:
            if link in (vm.store_link, vm.peer_link):
                vm.disturbed_at = time.monotonic()

    # Returns a random fault: its name, and a coroutine that injects it, waits and ends it.
    def choose_fault(self):
        vm, link = self.random.choice(self.vms), self.random.choice(self.links)
        current_primary = self.random.choice(self.groups).current_primary()
        _, endpoint = self.random.choice(self.endpoints)
        duration_s = 0.3 + self.random.random() * 3
        choices = [("kill", self.kill(vm, duration_s)), ("pause", self.pause(vm, duration_s)), ("stop", self.stop(vm)),
                   ("kill all", self.kill_all(duration_s)),
                   ("cut " + link.name, self.set_link_fault(link, "cut", duration_s)),
                   ("one way " + link.name, self.set_link_fault(link, "one_way", duration_s)),
                   ("delay " + link.name, self.delay(link, duration_s)),
                   ("reset " + link.name, self.run_action(link.reset)),
                   ("silence " + link.name, self.run_action(link.silence)),
                   ("silence all store links", self.silence_store()),
                   ("cut most store links", self.cut_most_from_store(duration_s + CONTACT_S)),
                   ("store refuses", self.set_store_mode("refuse", duration_s)),
                   ("store silent", self.set_store_mode("silent", duration_s)),
                   ("answers lost", self.lose_answers(duration_s)),
                   ("primary crashes", self.crash_endpoint(current_primary, duration_s)),
                   ("replica lags", self.override_attribute(endpoint, "lag_s", 0.8, duration_s)),
                   ("endpoint slow", self.override_attribute(endpoint, "work_s", 0.15, duration_s)),
                   ("answers to commits lost", self.override_attribute(current_primary, "lost_share", 0.3, duration_s)),
                   ("primary drains", self.override_attribute(current_primary, "draining", True, duration_s)),
                   ("primary cut", self.set_link_fault(current_primary.link, "cut", duration_s))]
        chosen = self.random.randrange(len(choices))
        for index, (_, coroutine) in enumerate(choices):
            if index != chosen:
                coroutine.close()
        return choices[chosen]

    async def kill(self, vm, duration_s):
        vm.send_signal(signal.SIGKILL)
        vm.disturbed_at = time.monotonic()
        await asyncio.sleep(duration_s)
        await vm.start()

    async def kill_all(self, duration_s):
        for vm in self.vms:
            vm.send_signal(signal.SIGKILL)
            vm.disturbed_at = time.monotonic()
        await asyncio.sleep(duration_s)
        await asyncio.gather(*(vm.start() for vm in self.vms))

    async def pause(self, vm, duration_s):
        vm.send_signal(signal.SIGSTOP)
        vm.disturbed_at = time.monotonic() + duration_s
        await asyncio.sleep(duration_s)
        vm.send_signal(signal.SIGCONT)
        vm.disturbed_at = time.monotonic()

    async def stop(self, vm):
        vm.send_signal(signal.SIGTERM)
        vm.disturbed_at = time.monotonic() + 60
        if vm.process:
            await vm.process.wait()
        await vm.start()

    async def set_link_fault(self, link, fault, duration_s):
        setattr(link, fault, True)
        await self.wait_disturbed(link, duration_s)
        setattr(link, fault, False)
        self.disturb(link)

    async def delay(self, link, duration_s):
        link.delay_s = 0.2
        await self.wait_disturbed(link, duration_s)
        link.delay_s = 0.0
        self.disturb(link)

    async def wait_disturbed(self, link, duration_s):
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            self.disturb(link)
            await asyncio.sleep(0.1)

    async def run_action(self, action):
        self.disturb(action.__self__)
        action()

    async def silence_store(self):
        for vm in self.vms:
            vm.store_link.silence()
            self.disturb(vm.store_link)
        self.changes.change()

    async def cut_most_from_store(self, duration_s):
        cut = self.random.sample(self.vms, len(self.vms) - 2)
        await asyncio.gather(*(self.set_link_fault(vm.store_link, "cut", duration_s) for vm in cut))

    async def set_store_mode(self, mode, duration_s):
        self.platform.mode = mode
        await self.disturb_store(duration_s)
        self.platform.mode = "up"
        self.store_disturbed_at = time.monotonic()

    async def lose_answers(self, duration_s):
        self.platform.lost_share = 0.5
        await self.disturb_store(duration_s)
        self.platform.lost_share = 0.0
        self.store_disturbed_at = time.monotonic()

    async def disturb_store(self, duration_s):
        # Faults of the store may overlap.
        self.store_disturbed_at = max(self.store_disturbed_at, time.monotonic() + duration_s)
        await asyncio.sleep(duration_s)

    async def restore_store(self):
        """Restores the store from an older copy; operator and endpoints write again what was lost, a little later."""
        draw = self.restore_random
        age_s, down_s, rewrite_s = draw.random() * 8, draw.random() * 2, draw.random() * 2
        self.faults.append(f"{time.monotonic() - self.begin:.2f} s store restored, {age_s:.1f} s lost")
        self.platform.late_share = 0.3
        await asyncio.sleep(0.5)
        self.platform.late_share = 0.0
        await self.set_store_mode("refuse", down_s)
        self.platform.restore(age_s)
        self.changes.lose()
        self.store_disturbed_at = time.monotonic()
        for _, endpoint in self.endpoints:
            endpoint.draining_since = None
        await asyncio.sleep(rewrite_s)
        while self.platform.mode != "up":
            await asyncio.sleep(0.05)
        self.published.clear()
        self.changes.write_again()

    async def run_restores(self):
        """In most runs the store is restored, once or twice; then an endpoint drains for longer than it may get work."""
        draw = self.restore_random
        for _ in range(draw.choice([0, 1, 1, 2])):
            await asyncio.sleep(draw.random() * self.seconds / 2)
            await self.restore_store()
            if draw.random() < 0.4:
                _, endpoint = draw.choice(self.endpoints)
                await self.override_attribute(endpoint, "draining", True, DRAIN_S + CONTACT_S)

    def coordinator(self):
        """The VM that orders promotions by the newest record in the store."""
        records = [found["spec"] for (kind, _), found in self.platform.objects.items() if kind == "coordination"]
        newest = max(records, key=lambda spec: spec["version"], default=None)
        return next((vm for vm in self.vms if newest and vm.name == newest["members"][0]["vm"]), self.vms[0])

    async def run_held_orders(self):
        """Cuts the coordinator off from the promotion call while primaries drain, so that an order is held up."""
        draw = self.order_random
        for _ in range(draw.choice([0, 1, 2])):
            await asyncio.sleep(draw.random() * self.seconds / 2)
            vm, group, duration_s = self.coordinator(), draw.choice(self.groups), 2 + draw.random() * 3.5
            self.faults.append(f"{time.monotonic() - self.begin:.2f} s {vm.promotion_link.name} cut, {group.name} drains")
            vm.promotion_link.cut = True
            draining = asyncio.create_task(
                self.override_attribute(group.current_primary(), "draining", True, duration_s + 2))
            await asyncio.sleep(duration_s)
            vm.promotion_link.cut = False
            await draining

    async def run_deaf_replicas(self):
        """Where commits wait for a replica: one replica receives nothing and another one drains, and the primary crashes or
        drains meanwhile."""
        draw = self.replica_random
        for group in [group for group in self.groups if group.sync_replicas]:
            await asyncio.sleep(draw.random() * self.seconds / 3)
            primary = group.current_primary()
            deaf, leaving = draw.sample([e for e in group.endpoints if e is not primary], 2)
            crashes = draw.random() < 0.5
            self.faults.append(f"{time.monotonic() - self.begin:.2f} s {deaf.name} deaf, {leaving.name} drains, "
                               f"{primary.name} {'crashes' if crashes else 'drains'}")
            others = [asyncio.create_task(self.override_attribute(leaving, "draining", True, 6))]
            deaf.replication_paused = True
            await asyncio.sleep(1 + draw.random() * 2)
            others.append(asyncio.create_task(self.crash_endpoint(primary, 4) if crashes else
                                              self.override_attribute(primary, "draining", True, 4)))
            await asyncio.sleep(1 + draw.random() * 1.5)
            deaf.replication_paused = False
            await asyncio.gather(*others)

    async def stop_under_busy_callers(self):
        """Planned work alone: a VM is stopped while callers send one statement after the other, without a pause."""
        vm = self.vms[self.seed % len(self.vms)]
        for _, endpoint in self.endpoints:
            endpoint.work_s = 0.02
        callers = [BusyCaller(number, vm.callers, self.groups[0]) for number in range(24)]
        for caller in callers:
            caller.credential = self.credential(caller.name)
        running = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.5)
        await self.stop(vm)
        for task in running:
            task.cancel()
        for _, endpoint in self.endpoints:
            endpoint.work_s = type(endpoint).work_s
        vm.disturbed_at = time.monotonic()

    def credential(self, caller):
        """What a caller of this name sends for its API key."""
        return key_of(organisation_of(caller)) if self.has_organisations else caller

    def check_work(self, endpoint, identity, statement_id):
        if self.has_organisations:
            organisation = organisation_of(statement_id)
            if identity != organisation:
                self.groups[0].report_violation(f"UNASKED: {endpoint.name} ran {statement_id} of {organisation} on "
                                                f"behalf of {identity}")
            if organisation == organisation_of("l"):
                self.limited_operations.add()
        self.check_draining(endpoint, identity)

    def check_draining(self, endpoint, identity):
        since, now = endpoint.draining_since, time.monotonic()
        # A connection of an organisation doesn't tell which VM has opened it.
        undisturbed_since = next((self.undisturbed_since(vm) for vm in self.vms if vm.name == identity),
                                 self.last_disturbance())
        if since and now > since + DRAIN_S and now > undisturbed_since + CONTACT_S:
            self.groups[0].report_violation(f"DRAIN: {identity} sent work to {endpoint.name}, which had been draining for "
                                            f"{now - since:.1f} s")

    async def crash_endpoint(self, endpoint, duration_s):
        endpoint.alive = False
        for writer in list(endpoint.writers):
            writer.transport.abort()
        await asyncio.sleep(duration_s)
        endpoint.alive = True

    async def override_attribute(self, endpoint, name, value, duration_s):
        default_value = getattr(type(endpoint), name)
        setattr(endpoint, name, value)
        await asyncio.sleep(duration_s)
        setattr(endpoint, name, default_value)

    async def run(self):
        await self.start()
        await asyncio.sleep(2.5)
        await self.stop_under_busy_callers()
        await asyncio.sleep(1)
        begin = self.begin = time.monotonic()
        end = begin + self.seconds
        callers = [Caller(n, self.seed, [vm.callers for vm in self.vms], self.groups[n // 2 % len(self.groups)],
                          ("exact", "own")[n % 2]) for n in range(12)]
        for caller in callers:
            caller.credential = self.credential(caller.name)
        stop = asyncio.Event()
        running = [asyncio.create_task(caller.run(stop)) for caller in callers]
        running += [asyncio.create_task(Probe(n, self.changes, self).run(stop)) for n in range(6)]
        flood = [FloodCaller(n, self) for n in range(4)] if self.has_organisations else []
        running += [asyncio.create_task(caller.run(stop)) for caller in flood]
        if self.has_organisations:
            running += [asyncio.create_task(KeyProbe(n, self.changes, self).run(stop)) for n in range(4)]
        hostile_callers = [HostileCaller(n, self, self.groups[n % len(self.groups)]) for n in range(4)]
        running += [asyncio.create_task(caller.run(stop)) for caller in hostile_callers]
        active_faults = [asyncio.create_task(faults) for faults in
                         (self.run_restores(), self.run_held_orders(), self.run_deaf_replicas(),
                          self.departures.run())]
        while time.monotonic() < end:
            await asyncio.sleep(self.random.random() * 1.5)
            name, coroutine = self.choose_fault()
            self.faults.append(f"{time.monotonic() - begin:.2f} s {name}")
            active_faults.append(asyncio.create_task(coroutine))
        await asyncio.gather(*active_faults)
        done_during_faults = sum(caller.outcomes["done"] for caller in callers)
        # The last faults may end long after the last one began.
        await asyncio.sleep(RECOVERY_S)
        if self.departures.has_final_fault:
            await self.departures.run_final_fault(callers)
        stop.set()
        await asyncio.gather(*running)
        done_in_total = sum(caller.outcomes["done"] for caller in callers)
        if done_in_total == done_during_faults:
            self.groups[0].report_violation("RECOVER: no operation succeeded after the last fault")
        self.groups[0].violations += self.changes.violations
        for vm in self.vms:
            if self.peak_mb[vm.name] > MEMORY_MB:
                self.groups[0].report_violation(f"MEMORY: {vm.name} took {self.peak_mb[vm.name]:.0f} MB of {MEMORY_MB}")
            vm.note_end()
            if vm.crashes:
                self.groups[0].report_violation(f"ENDED: {vm.name} ended by itself with {vm.crashes}")
        for group in self.groups:
            for attempt in group.reported_not_executed:
                if attempt in group.commits and attempt not in group.rolled_back:
                    group.report_violation(f"REFUSED: {attempt} was reported as not executed but was committed")
        self.totals = {k: sum(c.outcomes[k] for c in callers) for k in callers[0].outcomes}
        self.totals["limited"] = sum(caller.done for caller in flood)
        self.totals["hostile"] = sum(caller.message_count for caller in hostile_callers)

    async def stop_all(self):
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
            if vm.process:
                await vm.process.wait()
        for task in self.tasks:
            task.cancel()


def report_unless_cancelled(loop, context):
    """Reports exceptions of the event loop, except for the stand-in's connections that the end of a seed cancels."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def run_seed(seed, arguments):
    asyncio.get_running_loop().set_exception_handler(report_unless_cancelled)
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, arguments.vms, arguments.seconds, folder, arguments.daemon)
    try:
        await soak.run()
    finally:
        await soak.stop_all()
    violations = [violation for group in soak.groups for violation in group.violations]
    promotions = sum(len(group.promotions) for group in soak.groups)
    print(f"seed {seed}: {len(soak.vms)} VMs, {len(soak.groups)} groups, {soak.groups[0].connections} connections, "
          f"{soak.totals}, {promotions} promotions, {len(soak.faults)} faults, up to {max(soak.peak_mb.values()):.0f} MB, {len(violations)} violations",
          flush=True)
    if violations:
        print("  faults: " + "; ".join(soak.faults))
        rules = collections.Counter(text.partition(":")[0] for text in violations)
        print("  " + ", ".join(f"{count} {rule}" for rule, count in rules.items()))
        for rule in rules:
            print("\n".join("  " + text for text in [v for v in violations if v.startswith(rule + ":")][:10]))
        print(f"  logs: {folder}", flush=True)
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return not violations


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", default=[], help="a seed to run; may be repeated")
    parser.add_argument("--seeds", type=int, default=0, help="number of random seeds to run")
    parser.add_argument("--regressions", action="store_true", help="run every seed listed in soak/regressions.txt")
    parser.add_argument("--seconds", type=float, default=12,
                        help="seconds during which faults are injected (default: 12)")
    parser.add_argument("--vms", type=int, default=0, help="number of VMs (default, and for 0: drawn from the seed)")
    parser.add_argument("--daemon", type=pathlib.Path, default=DAEMON, help="the daemon to run (default: %(default)s)")
    parser.add_argument("--results", help="file for the results, in the JSON format of GoogleTest")
    return parser.parse_args()


def main():
    arguments = parse_arguments()
    seeds = list(arguments.seed)
    if arguments.regressions:
        lines = [line for line in REGRESSIONS.read_text().splitlines() if line and not line.startswith("#")]
        seeds += [int(line.split()[0]) for line in lines]
    seeds += [random.SystemRandom().randrange(1 << 31) for _ in range(arguments.seeds)]
    failed = [seed for seed in seeds if not asyncio.run(run_seed(seed, arguments))]
    if arguments.results:
        cases = [{"name": f"Seed{seed}", "failures": [{"failure": "see the output"}] if seed in failed else []}
                 for seed in seeds]
        pathlib.Path(arguments.results).write_text(json.dumps({"testsuites": [{"name": "Soak", "testsuite": cases}]}))
    print(f"{len(seeds)} seeds run; failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
