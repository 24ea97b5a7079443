"""With a synchronous replica, the primary and the replica that has its newest commits crash. The VMs wait for their logs,
are restarted one after the other, and then promote a replica that lacks acknowledged commits.
"""
import asyncio
import pathlib
import signal
import time

from rig import BROKEN, HELD, Session, play

# How far the replicas are behind, within what the sheet for Almaty has. Commits wait for one of them.
NEAR_LAG_S, FAR_LAG_S = 0.03, 0.12
WRITES_S = 3
# For how long the crashed endpoints are down; they come back with their logs.
DOWN_S = 25


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
    await asyncio.sleep(WRITES_S)
    if trouble:
        crash(rig, primary)
        crash(rig, near)
    crashed_at = time.monotonic()
    stop.set()
    await writing
    rig.note(f"{len(acknowledged)} writes were acknowledged, {acknowledged[-1]} last; {far.name} is at {far.position()}")
    await asyncio.sleep(8)
    rig.note(f"8 s later: directory {sorted(rig.published)}, promotions {[(n, t) for _, n, t in group.promotions]}")
    for vm in rig.vms:
        vm.send_signal(signal.SIGTERM)
        await vm.process.wait()
        await vm.start()
        await rig.await_ready([vm])
        rig.note(f"{vm.name} was stopped and started, as planned")
    end = crashed_at + DOWN_S
    while time.monotonic() < end and not group.promotions:
        await asyncio.sleep(0.1)
    lost = []
    for _, name, term in group.promotions:
        promoted = next(endpoint for endpoint in group.endpoints if endpoint.name == name)
        has = {entry[2] for entry in promoted.log}
        lost = [attempt for attempt in acknowledged if attempt not in has]
        rig.note(f"{name} leads term {term}; its log lacks {len(lost)} acknowledged commits: {', '.join(lost)}")
    if not group.promotions:
        rig.note("no endpoint was promoted")
    return BROKEN if lost else HELD


play(case, pathlib.Path(__file__).parent)
