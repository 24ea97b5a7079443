"""All machines lose power while the store is restored from an older copy; one of them doesn't come back.

The deployment must serve again 12 s after the machines are back.
"""
import asyncio
import pathlib
import time

from rig import BROKEN, HELD, CannotRun, Session, play

# The users' bound, and the share of requests that has to be served after it (RULES.md, RECOVER).
RECOVER_S = 12
LEAST_SHARE = 0.25
# The users' own drill (NEWS.md): how old the copy is, and for how long the store is away.
COPY_AGE_S = 9.0
AWAY_S = 2.0
# How long the machines are without power.
DOWN_S = 1.5
BEFORE_S = 12
JUDGED_S = 8
PAUSE_S = 0.1
DEADLINE_S = 1.2
KINDS = (("exact", "WRITE"), ("exact", "READ"), ("own", "WRITE"), ("own", "READ"), ("bounded", "READ"))


class Traffic:
    """Callers that go to another VM after each failure, as the platform's balancer sends their retries."""

    def __init__(self, rig):
        self.rig, self.results, self.stop = rig, [], False

    async def caller(self, number):
        kind, verb = KINDS[number % len(KINDS)]
        group = self.rig.groups[number // len(KINDS) % len(self.rig.groups)]
        session, turn, count = None, number, 0
        while not self.stop:
            sent_at, served = time.monotonic(), False
            try:
                async with asyncio.timeout(DEADLINE_S):
                    while not served:
                        if session is None:
                            turn += 1
                            running = [vm for vm in self.rig.vms if vm.running()]
                            if not running:
                                await asyncio.sleep(0.1)
                                continue
                            candidate = Session(self.rig, running[turn % len(running)], f"{kind}-{group.name}",
                                                f"c{number}s{turn}")
                            try:
                                await candidate.open()
                            except (OSError, asyncio.TimeoutError):
                                await asyncio.sleep(0.1)
                                continue
                            session = candidate
                        count += 1
                        try:
                            answer = await session.query(f"{verb} k{number}" + (f" v{count}" if verb == "WRITE" else ""))
                            served = answer.error is None
                            if not served:
                                await asyncio.sleep(0.1)
                        except OSError:
                            session = None
            except asyncio.TimeoutError:
                session = None
            self.results.append((sent_at, served))
            await asyncio.sleep(PAUSE_S)

    def share(self, begin, end):
        judged = [served for sent_at, served in self.results if begin <= sent_at < end]
        return sum(judged), len(judged)


async def case(make, trouble):
    rig = make(vms=5, services=3)
    await rig.start(rig.vms[:1])
    await rig.start_vms(rig.vms[1:4])
    traffic = Traffic(rig)
    callers = [asyncio.create_task(traffic.caller(number)) for number in range(3 * len(KINDS))]
    await asyncio.sleep(BEFORE_S)
    fault_at = time.monotonic()
    before, asked_before = traffic.share(fault_at - 5, fault_at)
    rig.note(f"{before} of {asked_before} requests of the last 5 s were served")
    if before < LEAST_SHARE * asked_before:
        raise CannotRun("too few requests were served before the fault")
    record = rig.coordination()
    rig.note(f"the record: version {record['version']}, members {[m['vm'] for m in record['members']]}, "
             f"former members {[(f['epoch'], f['vms']) for f in record['former']]}")
    lost = next(vm for vm in rig.vms if vm.name == record["members"][0]["vm"])
    if trouble:
        for vm in rig.vms[:4]:
            vm.send_signal(9)
        rig.platform.mode = "silent"
        rig.note(f"all machines lose power, and the store is away; {lost.name} is gone for good")
        await asyncio.sleep(DOWN_S)
        others = [vm for vm in rig.vms[:4] if vm is not lost]
        await asyncio.gather(*(vm.start() for vm in others))
        rig.note(f"{', '.join(vm.name for vm in others)} are back")
        await rig.vms[4].start()
        rig.note(f"{rig.vms[4].name} comes in place of {lost.name}, at another address")
        await asyncio.sleep(AWAY_S - DOWN_S)
        rig.restore(COPY_AGE_S)
    back_at = time.monotonic()
    judged_from, judged_to = back_at + RECOVER_S, back_at + RECOVER_S + JUDGED_S
    while time.monotonic() < judged_to + DEADLINE_S:
        await asyncio.sleep(2)
        now = time.monotonic()
        served, asked = traffic.share(now - 3.2, now - 1.2)
        record = rig.coordination()
        waiting = [name for name, group in record["groups"].items() if group["changing"]] if record else []
        rig.note(f"{served} of {asked} requests served; groups without a usable primary: {', '.join(waiting) or 'none'}")
    served, asked = traffic.share(judged_from, judged_to)
    rig.note(f"from {RECOVER_S} to {RECOVER_S + JUDGED_S} s after the machines are back: {served} of {asked} requests "
             f"served")
    if trouble:
        end = time.monotonic() + 15
        while time.monotonic() < end and not served:
            await asyncio.sleep(1)
            again, _ = traffic.share(back_at, time.monotonic())
            if again:
                rig.note(f"the first request is served {time.monotonic() - back_at:.0f} s after the machines are back")
                break
    traffic.stop = True
    for task in callers:
        task.cancel()
    return BROKEN if served < LEAST_SHARE * asked else HELD


play(case, pathlib.Path(__file__).parent)
