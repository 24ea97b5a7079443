"""Entries that another writer leaves among those of the endpoints: many at a time, of any shape and up to the store's limit."""
import asyncio

# The largest value of the store, and room for the metadata.
VALUE_BYTES, METADATA_BYTES = 1 << 20, 4096
ENTRY = '"service":"g","address":"127.0.0.1:7000","state":"ready","db_role":"replica"'


def filled(before, element, after):
    """A text of nearly VALUE_BYTES that repeats `element`, separated by commas."""
    return before + ",".join([element] * ((VALUE_BYTES - METADATA_BYTES) // (len(element) + 1))) + after


LARGE_SPECS = [filled('{%s,"slots":[' % ENTRY, "{}", "]}"), filled('{%s,"slots":{' % ENTRY, '"a":[]', "}}"),
               filled('{%s,"slots":"","unread":[' % ENTRY, "1", "]}"), filled("[", "[]", "]"),
               filled("{", '"slots":1e999', "}"), filled('{"zone":"', "x", '"}'),
               filled('{%s,"slots":[' % ENTRY, "[" * 60 + "]" * 60, "]}")]
SMALL_SPECS = ["{}", "null", '{%s}' % ENTRY, '{"service":"g","slots":-1}']


class ForeignWriter:
    """Leaves series of entries drawn from a generator of its own, lets them stand, and removes them."""

    def __init__(self, platform, random, note):
        # `note` is told when a series begins.
        self.platform, self.random, self.note = platform, random, note

    async def run(self):
        draw = self.random
        while True:
            await asyncio.sleep(draw.random() * 3)
            large = draw.random() < 0.7
            specs, count = (LARGE_SPECS, draw.randint(4, 12)) if large else (SMALL_SPECS, draw.randint(200, 800))
            pause_s = draw.choice([0, 0, 0.05, 0.4]) if large else 0
            chosen = draw.sample(specs, draw.randint(1, 2))
            self.note(f"{count} foreign entries of up to {max(map(len, chosen))} bytes")
            for number in range(count):
                self.platform.put_text("servers", f"foreign-{number}", chosen[number % len(chosen)])
                if pause_s or number % 100 == 99:
                    await asyncio.sleep(pause_s)
            await asyncio.sleep(0.5 + draw.random() * 3)
            for number in range(count):
                if ("servers", f"foreign-{number}") in self.platform.objects:
                    self.platform.delete("servers", f"foreign-{number}")
