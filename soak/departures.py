"""Faults that end in a departure: endpoints that lose the store, their log or their power, and VMs that never come back."""
import asyncio
import random
import time

from links import Link

# An entry goes after three heartbeat intervals of 1.2 s in which the store hears nothing of its endpoint.
ENTRY_LAPSES_S = 3.6
# The users' bounds: how long after the machines are back a share of the operations must succeed, and how large it is.
RECOVER_S, LEAST_SHARE = 12, 0.25
JUDGED_S = 3
# The users' own drill: how old the copy is from which the store comes back, and for how long it is away.
DRILL_COPY_AGE_S, DRILL_AWAY_S = 9, 2


class Departures:
    """These faults for one soak. They have random numbers of their own, so that a seed keeps its other faults."""

    def __init__(self, soak, free_port):
        self.soak, self.free_port = soak, free_port
        self.random, self.final_random = random.Random(soak.seed + 10), random.Random(soak.seed + 11)
        self.has_final_fault = self.final_random.random() < 0.4
        self.replaced = 0

    async def run(self):
        """In groups whose commits wait for a replica: one replica lags or receives nothing, the other one leaves, and the
        primary crashes meanwhile."""
        draw = self.random
        for group in [group for group in self.soak.groups if group.sync_replicas]:
            await asyncio.sleep(draw.random() * self.soak.seconds / 3)
            primary = group.current_primary()
            near, far = draw.sample([e for e in group.endpoints if e is not primary], 2)
            fault = draw.choice([self.lose_store, self.lose_power, self.lose_log])
            self.soak.note_fault(f"{near.name} departs ({fault.__name__}), {far.name} lags, {primary.name} crashes")
            await fault(primary, near, far)

    async def lose_store(self, primary, near, far):
        """The replica that has the newest commits is cut off from the store alone."""
        lag = asyncio.create_task(self.soak.override_attribute(far, "lag_s", 0.3, 8))
        near.cut_from_store = True
        await asyncio.sleep(ENTRY_LAPSES_S + 0.3 + self.random.random() * 0.5)
        crash = asyncio.create_task(self.soak.crash_endpoint(primary, 4))
        await asyncio.sleep(1 + self.random.random() * 2)
        near.cut_from_store = False
        await asyncio.gather(lag, crash)

    async def lose_power(self, primary, near, far):
        """The replica that has the newest commits is gone when the processes of all VMs are killed."""
        far.replication_paused = True
        await asyncio.sleep(0.5)
        gone = asyncio.create_task(self.soak.crash_endpoint(near, 11))
        await asyncio.sleep(ENTRY_LAPSES_S + 0.3)
        await self.soak.kill_all(0.2)
        await asyncio.sleep(1.5)
        crash = asyncio.create_task(self.soak.crash_endpoint(primary, 4))
        await asyncio.sleep(2)
        far.replication_paused = False
        await asyncio.gather(gone, crash)

    async def lose_log(self, primary, near, far):
        """The replica that has the newest commits starts again with nothing."""
        far.replication_paused = True
        await asyncio.sleep(0.5 + self.random.random())
        near_back = asyncio.create_task(self.soak.crash_endpoint(near, 2))
        await asyncio.sleep(1)
        crash = asyncio.create_task(self.soak.crash_endpoint(primary, 5))
        await asyncio.sleep(0.8)
        if not near.is_primary:
            # A primary that crashed comes back with its log.
            near.log, near.born = [], near.born + 1
        await near_back
        await asyncio.sleep(1)
        far.replication_paused = False
        await crash

    async def replace(self, vm):
        """The VM is gone for good; another one starts in its place, under another name and at another peers' address."""
        vm.send_signal(9)
        vm.disturbed_at = time.monotonic()
        if vm.process:
            await vm.process.wait()
        self.replaced += 1
        vm.name = f"vm-{100 * self.replaced + int(vm.name[3:])}"
        vm.peers = self.free_port()
        vm.peer_link = Link(f"peers of {vm.name}", vm.peers)
        await vm.peer_link.start()
        self.soak.peak_mb[vm.name] = 0

    async def run_final_fault(self, callers):
        """All machines lose power, some never come back, and in most runs the store comes back from an older copy.
        Judges what callers get afterwards."""
        draw, soak = self.final_random, self.soak
        lost = draw.sample(soak.vms, draw.choice([1, 1, 2, len(soak.vms) - 1]))
        restored = draw.random() < 0.7
        soak.note_fault(f"all lose power, {', '.join(vm.name for vm in lost)} for good" +
                        (", the store is restored" if restored else ""))
        soak.platform.mode = "silent"
        for vm in soak.vms:
            vm.send_signal(9)
            vm.disturbed_at = time.monotonic()
        soak.store_disturbed_at = time.monotonic() + DRILL_AWAY_S
        for vm in lost:
            await self.replace(vm)
        await asyncio.sleep(1.5)
        await asyncio.gather(*(vm.start() for vm in soak.vms))
        await asyncio.sleep(DRILL_AWAY_S - 1.5)
        if restored:
            soak.platform.restore(DRILL_COPY_AGE_S)
            soak.changes.lose()
            for _, endpoint in soak.endpoints:
                endpoint.draining_since = None
        soak.platform.mode = "up"
        soak.store_disturbed_at = time.monotonic()
        if restored:
            soak.published.clear()
            soak.changes.write_again()
        await asyncio.sleep(RECOVER_S)
        before = [dict(caller.outcomes) for caller in callers]
        await asyncio.sleep(JUDGED_S)
        done, other = 0, 0
        for caller, earlier in zip(callers, before):
            now = {name: count - earlier[name] for name, count in caller.outcomes.items()}
            done += now["done"]
            other += sum(now.values()) - now["done"]
        if done < LEAST_SHARE * (done + other) or not done:
            soak.groups[0].report_violation(f"RECOVER: {done} of {done + other} operations succeeded from {RECOVER_S} to "
                                            f"{RECOVER_S + JUDGED_S} s after all machines were back")
