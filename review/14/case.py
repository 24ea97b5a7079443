"""With a synchronous replica: one replica receives nothing for a while, the other one, which has the newest commits, is lost
for good, and the primary crashes meanwhile. VMs whose processes are new promote the replica that lacks acknowledged commits,
though the primary is back soon.
"""
import asyncio
import pathlib
import time

from rig import BROKEN, HELD, Session, play

# How far the replicas are behind, within what the sheet for the register has. Commits wait for one of them.
NEAR_LAG_S, FAR_LAG_S = 0.005, 0.048
# For how long a replica receives nothing, and the primary is down.
DEAF_S, DOWN_S = 6.5, 7.0
# When, from the time at which that replica receives nothing, the other one is lost, the processes of all VMs are killed, and
# the primary crashes.
GONE_AT_S, KILL_AT_S, CRASH_AT_S = 0.5, 4.4, 5.4


def crash(rig, endpoint):
    endpoint.alive = False
    for writer in list(endpoint.writers):
        writer.transport.abort()
    rig.note(f"{endpoint.name} crashes at {endpoint.position()}")


async def write_until(rig, vm, stop, acknowledged):
    """Writes one value after the other; notes the attempts that were acknowledged."""
    count, session = 0, None
    while not stop.is_set():
        try:
            if session is None:
                session = Session(rig, vm, "exact-svc1", f"w{len(acknowledged)}x{count}")
                await session.open()
            count += 1
            answer = await session.query(f"WRITE k{count % 8} v{count}")
            if answer.error is None:
                acknowledged.append(f"{session.name}q{session.count}")
        except (OSError, asyncio.TimeoutError):
            session = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.005)


async def case(make, trouble):
    rig = make(vms=3, sync_replicas=1)
    await rig.start()
    group = rig.groups[0]
    primary, near, far = group.endpoints
    near.lag_s, far.lag_s = NEAR_LAG_S, FAR_LAG_S
    acknowledged, stop = [], asyncio.Event()
    writing = asyncio.create_task(write_until(rig, rig.vms[0], stop, acknowledged))
    await asyncio.sleep(2)
    begin = time.monotonic()

    async def until(second):
        await asyncio.sleep(max(0, begin + second - time.monotonic()))
    if trouble:
        far.replication_paused = True
        rig.note(f"{far.name} receives nothing any more")
    await until(GONE_AT_S)
    if trouble:
        crash(rig, near)
        rig.note(f"{near.name} is lost for good")
    await until(KILL_AT_S)
    rig.note(f"{len(acknowledged)} writes were acknowledged, {acknowledged[-1]} last; directory {sorted(rig.published)}")
    for vm in rig.vms:
        await vm.kill()
    rig.note("the processes of all VMs are killed")
    await asyncio.sleep(0.2)
    await asyncio.gather(*(vm.start() for vm in rig.vms))
    await rig.await_ready(rig.vms)
    await until(CRASH_AT_S)
    if trouble:
        crash(rig, primary)
    await until(DEAF_S)
    far.replication_paused = False
    await until(CRASH_AT_S + DOWN_S)
    primary.alive = True
    rig.note(f"{primary.name} is back at {primary.position()}")
    await until(CRASH_AT_S + DOWN_S + 2)
    stop.set()
    writing.cancel()
    lost = []
    for at, name, term in group.promotions:
        promoted = next(endpoint for endpoint in group.endpoints if endpoint.name == name)
        has = {entry[2] for entry in promoted.log}
        lost = [attempt for attempt in acknowledged if attempt not in has]
        rig.note(f"{name} leads term {term} since {at - rig.begin:.3f} s; its log lacks {len(lost)} acknowledged commits: "
                 f"{', '.join(lost[:3])}{' and others' if len(lost) > 3 else ''}")
    if not group.promotions:
        rig.note("no endpoint was promoted")
    return BROKEN if lost else HELD


play(case, pathlib.Path(__file__).parent)
