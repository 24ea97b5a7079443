"""A synchronous replica is cut off from the store for a while, and the primary crashes meanwhile. Commits that this
replica alone has received, and that were acknowledged for it, are missing from the log of the endpoint that is promoted.
"""
import asyncio
import pathlib
import time

from rig import BROKEN, HELD, Session, play

# How far the replicas are behind, within what the sheet for Almaty has. Commits wait for one of them.
NEAR_LAG_S, FAR_LAG_S = 0.03, 0.12
# For how long the near replica is cut off from the store, and when in that time the primary crashes.
CUT_S = 5
CRASH_AFTER_S = 4.2
# For how long the primary is down.
DOWN_S = 7


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
    if trouble:
        rig.cut_from_store.add(near)
        rig.note(f"{near.name} is cut off from the store; it still reaches the VMs and the primary")
    await asyncio.sleep(CRASH_AFTER_S)
    rig.note(f"directory: {sorted(rig.published)}")
    if trouble:
        crash(rig, primary)
    crashed_at = time.monotonic()
    stop.set()
    await writing
    rig.note(f"{len(acknowledged)} writes were acknowledged, {acknowledged[-1]} last; {near.name} is at "
             f"{near.position()}, {far.name} at {far.position()}")
    await asyncio.sleep(CUT_S - CRASH_AFTER_S)
    rig.cut_from_store.clear()
    rig.note(f"{near.name} reaches the store again")
    while time.monotonic() < crashed_at + DOWN_S and not group.promotions:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    lost = []
    for _, name, term in group.promotions:
        when = next(at for at, promoted_name, _ in group.promotions if promoted_name == name) - rig.begin
        promoted = next(endpoint for endpoint in group.endpoints if endpoint.name == name)
        has = {entry[2] for entry in promoted.log}
        lost = [attempt for attempt in acknowledged if attempt not in has]
        rig.note(f"{name} leads term {term} since {when:.3f} s; its log lacks {len(lost)} acknowledged commits: {', '.join(lost)}")
    if not group.promotions:
        rig.note("no endpoint was promoted")
    return BROKEN if lost else HELD


play(case, pathlib.Path(__file__).parent)
