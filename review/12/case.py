"""A VM that is cut off goes on to use a primary by a record that a restore of the store has lost, while the others, whose
processes are new, replace that primary. Reads through the VM that is cut off lack acknowledged commits.
"""
import asyncio
import pathlib
import signal
import time

from rig import BROKEN, HELD, CannotRun, Session, play

# The users' own drill (NEWS.md): how old the copy is, and for how long the store is away.
COPY_AGE_S = 9.0
AWAY_S = 2.0
# The pause between the starts of two planned restarts.
GAP_S = 1.3
# For how long one machine is cut off; the users' days have up to 12 s.
CUT_S = 9.0
# `drain_ms`.
DRAIN_S = 7
# How far replicas are behind, as on the sheet for Almaty.
LAG_S = 0.06
LIMIT_S = 5


async def await_record(rig, holds, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        record = rig.coordination()
        if record and holds(record):
            rig.note(f"the store's record: version {record['version']}, members {[m['vm'] for m in record['members']]}, "
                     f"{what}")
            return record
        await asyncio.sleep(0.02)
    raise CannotRun(f"no record in which {what}")


async def leave(rig, endpoint):
    """A draining endpoint goes on serving for the time that the page gives it, and ends."""
    await asyncio.sleep(DRAIN_S)
    endpoint.alive = False
    rig.note(f"{endpoint.name} has left")


async def restart(rig, vm, delay_s):
    """The VM is stopped and started, as planned work."""
    await asyncio.sleep(delay_s)
    rig.note(f"{vm.name} gets SIGTERM, as planned")
    vm.send_signal(signal.SIGTERM)
    await vm.process.wait()
    await vm.start()
    rig.note(f"{vm.name} has ended and is started again")


async def write_and_read(rig, number, write_vm, read_vm):
    """Writes through one VM and reads, once the write is acknowledged, through the other. Returns false if the read is
    stale; none if one of them wasn't served."""
    writer = Session(rig, write_vm, "exact-svc1", f"w{number}")
    reader = Session(rig, read_vm, "exact-svc1", f"r{number}")
    try:
        await writer.open()
        await reader.open()
        written = await writer.query(f"WRITE k1 value{number}")
        if written.error:
            return None
        read = await reader.query("READ k1")
        if read.error:
            return None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        for session in (writer, reader):
            if hasattr(session, "writer"):
                session.close()
    position, value = read.rows[0].split(" ")
    log = rig.groups[0].current_primary().log
    committed = next(entry for entry in log if entry[2] == f"w{number}q1")
    stale = tuple(map(int, position.split("."))) < committed[:2]
    rig.note(f"{written.signature} wrote value{number} at {committed[0]}.{committed[1]} through {write_vm.name}, "
             f"acknowledged; then {read.signature} read {value} at {position} through {read_vm.name}"
             + (": stale" if stale else ""))
    return not stale


async def case(make, trouble):
    rig = make(vms=3, services=2, with_links=True)
    group = rig.groups[0]
    for endpoint in group.endpoints:
        endpoint.lag_s = LAG_S
    await rig.start()
    await await_record(rig, lambda r: len(r["members"]) == 3 and len(r["groups"]) == 2, 5, "all VMs are members")
    await asyncio.sleep(3)
    # A primary of the other service is replaced as planned, so that the record isn't the first one any more.
    released = rig.groups[1].current_primary()
    released.draining = True
    rig.note(f"{released.name}, a primary of the other service, is replaced as planned")
    await await_record(rig, lambda r: r["groups"]["svc2"]["primary"] != released.name and
                       not r["groups"]["svc2"]["changing"], 8, "the other service has a new primary")
    leaving = asyncio.create_task(leave(rig, released))
    alone = next(vm for vm in rig.vms if vm.name == rig.coordination()["members"][0]["vm"])
    others = [vm for vm in rig.vms if vm is not alone]
    await asyncio.sleep(COPY_AGE_S)
    if trouble:
        restarts = [asyncio.create_task(restart(rig, vm, GAP_S * turn)) for turn, vm in enumerate(others)]
        await await_record(rig, lambda r: len(r["members"]) == 1, 6, f"{alone.name} is the only member meanwhile")
        rig.platform.mode = "silent"
        away_at = time.monotonic()
        rig.cut_off.add(alone.ip)
        rig.note(f"the store is away, and {alone.name} is cut off from it and from the other VMs")
        await asyncio.sleep(AWAY_S)
        rig.restore(COPY_AGE_S)
        await asyncio.gather(*restarts)
    primary = group.current_primary()
    primary.draining = True
    rig.note(f"{primary.name}, the primary, is to be replaced: it is published as draining")
    end = (away_at + CUT_S) if trouble else (time.monotonic() + CUT_S)
    number, stale_reads = 0, 0
    while time.monotonic() < end:
        number += 1
        fresh = await write_and_read(rig, number, others[number % 2], alone)
        stale_reads += fresh is False
        await asyncio.sleep(0.05)
    leaving.cancel()
    rig.note(f"the ready probe of {alone.name}: {await alone.ready()}")
    rig.note(f"the primary is {group.current_primary().name} in term {group.current_primary().term}; "
             f"promotions: {[(name, term) for _, name, term in group.promotions]}")
    rig.note(f"{number} pairs of a write and a read, {stale_reads} stale reads; {rig.groups[0].violations or 'no others'}")
    return BROKEN if stale_reads else HELD


play(case, pathlib.Path(__file__).parent)
