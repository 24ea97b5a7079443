"""A promotion order that a partition held up reaches the platform after another coordinator has ordered promotions."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import rig as stand_ins  # noqa: E402

# At most the 5.5 s for which the site file cuts single machines off.
CUT_S = 5.0


async def case(rig):
    first, second = rig.add_group("rack-1"), rig.add_group("rack-2")
    rig.configure()
    await rig.start()
    writers = [stand_ins.Writer(rig, rig.vms, "db-rack-2", 0.02) for _ in range(8)]
    for writer in writers:
        rig.spawn(writer.run())
    await asyncio.sleep(2)

    # Planned work: the primary of the first database is replaced.
    rig.spawn(first.replace(first.primary()))
    await rig.wait_for("the first database has a new primary", lambda: recorded(rig, first), 15)
    await asyncio.sleep(2)

    coordinator = rig.coordinator()
    rig.record.say("case", f"the coordinator is {coordinator.name}")
    if rig.trouble:
        coordinator.promotion_link.cut()
    # Planned work: two instances of the second database are replaced one after the other, its primary first.
    rig.spawn(second.replace(second.instances[0]))
    await asyncio.sleep(1)
    rig.spawn(second.replace(second.instances[1]))
    await asyncio.sleep(CUT_S - 1)
    if rig.trouble:
        coordinator.promotion_link.heal()
    await asyncio.sleep(5)
    return judge(rig, coordinator, second, writers)


async def recorded(rig, group):
    state = rig.store.objects[("coordination", "main")]["spec"]["groups"][group.name]
    return state["term"] == 2 and not state["changing"]


def judge(rig, coordinator, group, writers):
    violations = []
    for at, service, name, holder, token in rig.promotions.lower_tokens():
        violations.append(f"ONE: at {at:.2f} s {holder} sent token {token} for {service} ({name}), lower than one that "
                          f"the platform had seen")
    acknowledged = {statement_id: at for writer in writers for at, statement_id in writer.acknowledged}
    for at, statement_id, name, term, caller in group.commits:
        later = [p for p in group.promoted if p[0] < at and p[2] > term]
        # The link of the former coordinator was disrupted: what it sent isn't counted.
        if later and statement_id in acknowledged and caller != coordinator.name:
            violations.append(f"ONE: {statement_id} was committed at {name} in term {term} at {at:.2f} s, after "
                              f"{later[0][1]} had been promoted at {later[0][0]:.2f} s, and was acknowledged")
    kept = {entry[2] for entry in group.primary().log}
    lost = [statement_id for statement_id in acknowledged if statement_id not in kept]
    rig.record.say("case", f"{len(acknowledged)} acknowledged writes, {len(lost)} of them not in the primary's log now")
    return violations


if __name__ == "__main__":
    stand_ins.play(FOLDER, case)
