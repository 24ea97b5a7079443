"""Busy sessions of a machine that is stopped and started are broken off while their statements run."""
import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import rig as stand_ins  # noqa: E402

SESSIONS = 60
GRACE_S = stand_ins.BOUNDS["grace_s"]
# Of a request that was sent up to this long after the SIGTERM, the end isn't counted in the last sixth of the grace.
EXCUSED_UNTIL_S = 3.0


def work_s():
    """The work of stock-lookup: 22 ms on average, 170 ms at most."""
    return min(0.17, random.lognormvariate(-4.06, 0.7))


class Reader:
    """A client that sends one read after the other in one session, each when the one before has been answered."""

    def __init__(self, rig, vm):
        self.rig, self.vm = rig, vm
        # (statement id, sent, ended) of the read that got no complete answer.
        self.broken = None
        self.answered = 0

    async def run(self):
        session = stand_ins.Session(self.rig, "reader")
        try:
            await session.open(self.vm, "db-rack-1")
            while True:
                sent_at = self.rig.record.now()
                await session.query("READ k1", limit_s=10)
                self.answered += 1
        except asyncio.IncompleteReadError:
            pass
        except (ConnectionError, OSError):
            self.broken = (f"{session.name}.{session.queries}", sent_at, self.rig.record.now())
        finally:
            session.close()


async def case(rig):
    group = rig.add_group("rack-1")
    for instance in group.instances:
        instance.work_s = work_s
    rig.configure(route_type="bounded_staleness", timeout_ms=1500)
    await rig.start()
    vm = rig.vms[0]
    readers = [Reader(rig, vm) for _ in range(SESSIONS)]
    for reader in readers:
        rig.spawn(reader.run())
    await asyncio.sleep(6)
    stopped_at = rig.record.now()
    if rig.trouble:
        vm.signal(signal.SIGTERM)
        await asyncio.wait_for(vm.process.wait(), GRACE_S + 2)
        rig.record.say(vm.name, f"ended {rig.record.now() - stopped_at:.2f} s after the SIGTERM")
        await vm.start()
    else:
        await asyncio.sleep(GRACE_S)
    await asyncio.sleep(0.5)
    rig.record.say("case", f"{sum(reader.answered for reader in readers)} reads were answered")
    return judge(rig, group, readers, stopped_at)


def judge(rig, group, readers, stopped_at):
    violations = []
    for statement_id, sent, ended in (reader.broken for reader in readers if reader.broken):
        passed_on = statement_id in group.arrivals
        late = ended - sent > stand_ins.BOUNDS["lost_ms"] / 1000
        excused = sent - stopped_at <= EXCUSED_UNTIL_S
        text = (f"{statement_id} was sent {sent - stopped_at:.3f} s after the SIGTERM, "
                f"{'passed on to an instance' if passed_on else 'not passed on'}, and its connection ended without a "
                f"complete answer {ended - sent:.3f} s after it was sent")
        if (passed_on or late) and not excused and sent > stopped_at:
            violations.append("LOST: " + text)
        else:
            rig.record.write("case", "not counted: " + text)
    return violations


if __name__ == "__main__":
    stand_ins.play(FOLDER, case)
