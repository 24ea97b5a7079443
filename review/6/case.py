"""Another writer leaves entries among those of the instances, each with one field of another type and as long as the
store takes them."""
import asyncio
import json
import pathlib
import sys
import urllib.parse

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from deployment import TROUBLE, CouldNotRun, Deployment, ordinary_request, run_case, wire_platform  # noqa: E402

# The store's `value_bytes`, of which the metadata and the other fields may take this much.
VALUE_BYTES, OTHER_BYTES = 1 << 20, 4096
ENTRIES = 8
PAUSE_S = 0.8
# The entries stand for this long after the last one; then they are removed, but for those of the last round.
STANDING_S = 4
ROUNDS = 3
READY_S = 15
# The store lists about this much at a time.
PAGE_BYTES = 1 << 20
# The rule: a tenth of the machines, two at least, three ends each.
MACHINES, ENDS = 2, 3


def odd_spec(group):
    """An entry whose `slots` is a list. The stand-in sends the text as it is, so that it needn't be built each time."""
    empty_objects = ",".join(["{}"] * ((VALUE_BYTES - OTHER_BYTES) // len("{},")))
    others = json.dumps({"service": group, "state": "ready", "zone": "zone-a", "db_role": "replica", "sequence": 1})
    return f'{others[:-1]}, "slots": [{empty_objects}]}}'


class PagedPlatform(wire_platform.Platform):
    """Lists the objects of a kind in pages, as the store does."""

    async def handle(self, method, target, body, headers):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.strip("/").split("/")
        if method != "GET" or len(parts) != 2 or "watch" in query:
            return await super().handle(method, target, body, headers)
        names = sorted(name for kind, name in self.objects if kind == parts[1] and name > query.get("after", ""))
        items, size = [], 0
        for name in names:
            item = self.objects[(parts[1], name)]
            length = VALUE_BYTES if isinstance(item["spec"], str) else len(json.dumps(item))
            if items and size + length > PAGE_BYTES:
                break
            items.append(item)
            size += length
        return 200, {"items": items, "has_more": len(items) < len(names), "as_of_rev": self.revision}


async def leave_odd_entries(deployment, record):
    number = len(wire_platform.ODD_SPECS) - 1
    for entry in range(ENTRIES):
        deployment.platform.put("servers", f"odd-{entry}", f"odd spec {number}")
        await asyncio.sleep(PAUSE_S)
        note_memory(deployment, record, f"{entry + 1} odd entries of {len(wire_platform.ODD_SPECS[number])} bytes")


async def remove_odd_entries(deployment, record):
    for entry in range(ENTRIES):
        deployment.platform.delete("servers", f"odd-{entry}")
    record.note("the odd entries are removed")
    for vm in deployment.vms:
        if not await vm.await_ready(READY_S):
            raise CouldNotRun(f"{vm.name} isn't ready {READY_S} s after the entries were removed")


async def served_by_all(deployment, record):
    return [await ordinary_request(vm, record) for vm in deployment.vms]


def note_memory(deployment, record, what):
    record.note(f"{what}; resident: {[f'{vm.name} {vm.memory_mb()[0]:.0f} MB' for vm in deployment.vms]}")


async def body(record):
    deployment = Deployment(record)
    deployment.platform = PagedPlatform([deployment.group])
    try:
        await deployment.start()
        wire_platform.ODD_SPECS.append(odd_spec(deployment.group.name))
        for visit in range(ROUNDS):
            served = await served_by_all(deployment, record)
            note_memory(deployment, record, f"round {visit + 1}: ordinary reads are served: {served}")
            if not any(served):
                raise CouldNotRun("no ordinary read is served before the entries are left")
            if TROUBLE:
                await leave_odd_entries(deployment, record)
            else:
                await asyncio.sleep(ENTRIES * PAUSE_S)
            await asyncio.sleep(STANDING_S)
            if TROUBLE and visit + 1 < ROUNDS:
                await remove_odd_entries(deployment, record)
        record.note(f"while the last entries stand, ordinary reads are served: {await served_by_all(deployment, record)}")
        record.note(f"ends by the processes' own doing: {[vm.own_ends for vm in deployment.vms]}; besides, within a second "
                    f"of a start: {[vm.ends_at_start for vm in deployment.vms]}")
        return sum(vm.own_ends >= ENDS for vm in deployment.vms) < MACHINES
    finally:
        await deployment.stop()


run_case(FOLDER, body)
