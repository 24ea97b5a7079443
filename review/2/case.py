"""The only replica that has the newest acknowledged commits is draining when the primary crashes.

With CRASH=0 the primary doesn't crash: it reports that it is draining, too, and stays.
"""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import rig as stand_ins  # noqa: E402

# At most the 6.5 s for which the site file lets a replica receive nothing, and the 7 s for which a primary is down.
DEAF_S = 3.0
DOWN_S = 7.0


async def case(rig):
    group = rig.add_group("rack-1", sync_replicas=1)
    rig.configure()
    await rig.start()
    writers = [stand_ins.Writer(rig, rig.vms, "db-rack-1", 0.02) for _ in range(8)]
    for writer in writers:
        rig.spawn(writer.run())
    await asyncio.sleep(2)

    primary, leaving, other = group.instances
    # Planned work: one replica reports that it is draining. It serves and receives on for the platform's 7 s and longer.
    leaving.drain()
    await asyncio.sleep(1)
    if rig.trouble:
        # One replica receives nothing for a while, and the primary crashes meanwhile.
        other.deaf = True
        rig.record.say(other.name, "receives nothing")
    await asyncio.sleep(DEAF_S)
    crashes = os.environ.get("CRASH", "1") != "0"
    if not crashes:
        # Planned work: the primary is replaced as well.
        primary.drain()
    elif rig.trouble:
        primary.crash()
    await asyncio.sleep(1 if crashes else 2.5)
    other.deaf = False
    await asyncio.sleep(4.5 if crashes else 3)
    leaving.leave()
    await asyncio.sleep(DOWN_S - 5.5)
    if crashes and rig.trouble:
        primary.come_back()
    await asyncio.sleep(1)
    return judge(rig, group, writers)


def judge(rig, group, writers):
    violations = []
    for at, name, term, log in group.promoted:
        kept = {entry[2] for entry in log}
        lost = [(answered, statement_id) for writer in writers for answered, statement_id in writer.acknowledged
                if answered < at and statement_id not in kept]
        violations += [f"LOST: {statement_id} was acknowledged at {answered:.2f} s, and isn't in the log of {name}, which "
                       f"was promoted at {at:.2f} s for term {term}" for answered, statement_id in lost]
    rig.record.say("case", f"{sum(len(w.acknowledged) for w in writers)} writes were acknowledged")
    return violations


if __name__ == "__main__":
    stand_ins.play(FOLDER, case)
