"""Messages of callers that put line ends, other control characters, blanks and whole messages into any field."""
import dataclasses
import enum

from wire_platform import MAX_MESSAGE_BYTES

LINE_END = b"\r\n"
# Each of them makes its message malformed. A 0x02 begins a notice between VMs.
CONTROL_PARTS = [b"\n", b"\r", b"\n\r", b"\n\n", b"\r\r", b"\0", b"\v", b"\f", b"\x1c", b"\x1d", b"\x1e", b"\x02",
                 b"\x02 9 127.0.0.1:9\n", b"\x029 127.0.0.1:9\n", b"\n\x02 9 127.0.0.1:9\n"]
# Text that some readers take for line ends: 0x85, U+0085 and U+2028.
TEXT_PARTS = [b"\x85", b"\xc2\x85", b"\xe2\x80\xa8", b"\xd1\x8f", b"-", b"\\r\\n", b"%0a"]
# The wire protocol doesn't say whether a field may hold them.
UNCLEAR_PARTS = [b"\t", b" ", b"  ", b"\x7f"]
# The place of the field that can't be changed without making another statement of it.
KEYWORDS = (b"READ", b"WRITE", b"SET", b"PREPARE", b"EXECUTE", b"DEALLOC")
MALFORMED_LINES = [b"", b" ", b"QUERY", b"QUERY ", b"QUERY %b", b"QUERY %b ", b"QUERY - READ k1",
                   b"QUERY - WRITE k1 x", b"QUERY - STATUS", b"QUERY - RESET", b"QUERY %b READ",
                   b"QUERY %b WAITPOS 1.1 READ k1", b"QUERY %b STATUS", b"QUERY %b RESET",
                   b"QUERY %b STEPDOWN 99", b"QUERY %b PAUSE 99", b"QUERY %b BEGIN WRITE", b"QUERY %b COMMIT now",
                   b"QUERY %b PREPARE s READ", b"QUERY %b PREPARE s BEGIN x", b"QUERY %b read k1", b"query %b READ k1",
                   b"READY I -", b"COMPLETE -", b"ERROR RETRY -", b"?"]


class Verdict(enum.Enum):
    """What the wire protocol says of a message."""
    VALID, MALFORMED, UNCLEAR, TOO_LONG = range(4)


@dataclasses.dataclass
class Message:
    data: bytes
    verdict: Verdict
    # The id and the text as a reader at CR LF finds them, in Latin-1.
    statement_id: str = ""
    text: str = ""
    # The mode and the shape that an EXECUTE has to run; none: its name is unknown.
    prepared: tuple | None = None


class MessageSource:
    """Draws the messages of one caller."""

    def __init__(self, name, random):
        self.name, self.random, self.count = name, random, 0
        # What it sends for its API key.
        self.credential = name
        self.begin_session()

    def begin_session(self):
        # The session values, None if they aren't known; the prepared statements by name.
        self.values, self.prepared = {}, {}

    def next_id(self):
        self.count += 1
        return f"{self.name}q{self.count}".encode()

    def message(self, fields, verdict=Verdict.VALID, prepared=None):
        """A QUERY with these fields."""
        line = b"QUERY " + b" ".join(fields)
        statement_id, _, text = line.decode("latin-1")[len("QUERY "):].partition(" ")
        return Message(line + LINE_END, verdict, statement_id, text, prepared)

    def hidden(self, statement_id):
        """A message that stands inside a field of another one."""
        hidden_id = statement_id + b"hidden"
        return self.random.choice([
            b"QUERY %b WRITE k1 %b/x" % (hidden_id, hidden_id), b"QUERY %b READ k1" % hidden_id,
            b"QUERY %b COMMIT" % hidden_id, b"QUERY %b WAITPOS 1.0 READ k1" % hidden_id,
            b"QUERY - WRITE k1 %b/x" % hidden_id, b"QUERY - RESET", b"QUERY - SET a hidden", b"QUIT",
            b"CONNECT exact-g %b" % hidden_id])

    def insert(self, field, statement_id):
        """Returns the field with something in it, and the verdict on it if it is the last field."""
        verdict, parts = self.random.choice([(Verdict.MALFORMED, CONTROL_PARTS), (Verdict.MALFORMED, CONTROL_PARTS),
                                             (Verdict.VALID, TEXT_PARTS), (Verdict.UNCLEAR, UNCLEAR_PARTS)])
        part = self.random.choice(parts)
        if self.random.random() < 0.7:
            part += self.hidden(statement_id)
            if self.random.random() < 0.3:
                part += self.random.choice(parts)
        at = self.random.randint(0, len(field))
        return field[:at] + part + field[at:], verdict

    def beginning(self, statement_id):
        """Bytes that make a message malformed when they stand before its first word: a message that ends with LF only,
        say, or a notice between VMs."""
        hidden = self.hidden(statement_id)
        return self.random.choice([hidden + b"\n", hidden + b"\r", *CONTROL_PARTS])

    def plain_read(self):
        """A read whose item tells the values that its session must have."""
        item = b"k1"
        if self.values and not any(b" " in value for value in self.values.values()):
            item += b"@" + b",".join(name + b"=" + value for name, value in sorted(self.values.items()))
        return self.message([self.next_id(), b"READ", item])

    def statement_fields(self, statement_id):
        """The fields of a valid statement after its id."""
        item, data = f"k{self.random.randint(0, 7)}".encode(), statement_id + b"/v"
        name = self.random.choice(sorted(self.prepared) or [b"s0"])
        value, shape = b"v%d" % self.random.randint(0, 3), b"shape%d" % self.random.randint(0, 2)
        return self.random.choice([
            [b"READ", item], [b"WRITE", item, data], [b"SET", self.random.choice([b"a", b"b"]), value],
            [b"PREPARE", b"s%d" % self.count, self.random.choice([b"READ", b"WRITE"]), shape],
            [b"EXECUTE", name, item, data], [b"DEALLOC", b"s%d" % self.random.randint(0, 9)]])

    def statement(self):
        """A single statement, in most cases with something inside one of its fields."""
        statement_id = self.next_id()
        if self.random.random() < 0.2:
            line = self.random.choice(MALFORMED_LINES)
            line = line % statement_id if b"%b" in line else line
            if self.random.random() < 0.4:
                line = self.beginning(statement_id) + b"QUERY %b WRITE k1 %b/v" % (statement_id, statement_id)
            return Message(line + LINE_END, Verdict.MALFORMED)
        fields, verdict = [statement_id, *self.statement_fields(statement_id)], Verdict.VALID
        if self.random.random() < 0.75:
            # The mode of a PREPARE is a keyword, too.
            at = self.random.choice([n for n, field in enumerate(fields) if field not in KEYWORDS])
            if self.random.random() < 0.1:
                fields[at], verdict = b"", Verdict.UNCLEAR
            else:
                fields[at], verdict = self.insert(fields[at], statement_id)
                if at < len(fields) - 1 and b" " in fields[at] and verdict is Verdict.VALID:
                    verdict = Verdict.UNCLEAR
        return self.remember(fields, verdict)

    def remember(self, fields, verdict):
        """Returns the message, and notes what it changes in the session."""
        verb = fields[1]
        if verb == b"EXECUTE":
            # The name ends at the first blank, wherever that was inserted.
            return self.message(fields, verdict, self.prepared.get(b" ".join(fields[2:]).partition(b" ")[0]))
        if verb == b"PREPARE" and verdict is Verdict.VALID:
            self.prepared[fields[2]] = (fields[3].decode(), fields[4].decode("latin-1"))
        if verb == b"SET" and verdict is not Verdict.MALFORMED and self.values is not None:
            if verdict is Verdict.VALID:
                self.values[fields[2]] = fields[3]
            else:
                self.values = None
        return self.message(fields, verdict)

    def transaction(self):
        """The messages of a transaction, with malformed ones between its statements."""
        messages = [self.message([self.next_id(), *self.random.choice([[b"BEGIN"], [b"BEGIN", b"READ"]])])]
        writes = messages[0].text == "BEGIN"
        for _ in range(self.random.randint(1, 4)):
            statement_id = self.next_id()
            fields = [b"READ", b"k2"]
            if writes and self.random.random() < 0.5:
                fields = [b"WRITE", b"k2", statement_id + b"/t"]
            if self.random.random() < 0.4:
                fields[-1] += self.random.choice(CONTROL_PARTS) + self.hidden(statement_id)
                messages.append(self.message([statement_id, *fields], Verdict.MALFORMED))
            else:
                messages.append(self.message([statement_id, *fields]))
        messages.append(self.message([self.next_id(), self.random.choice([b"COMMIT", b"COMMIT", b"ROLLBACK"])]))
        return messages

    def long_statements(self):
        """Statements whose message, with its CR LF, is as long as a message may be, or a byte shorter or longer."""
        length = MAX_MESSAGE_BYTES + self.random.choice([-1, 0, 1, 2, 4096])
        verdict = Verdict.VALID if length <= MAX_MESSAGE_BYTES else Verdict.TOO_LONG
        statement_id, first = self.next_id(), []
        kinds = [[b"READ", b"long"], [b"WRITE", b"long", statement_id + b"/"], [b"SET", b"c", b"long"],
                 [b"PREPARE", b"sl", b"READ", b"long"], [b"EXECUTE", b"se", b"long"]]
        fields = [statement_id, *self.random.choice(kinds)]
        if fields[1] == b"EXECUTE":
            first.append(self.remember([self.next_id(), b"PREPARE", b"se", b"READ", b"shape"], Verdict.VALID))
        fields[-1] += b"x" * (length - len(b"QUERY " + b" ".join(fields) + LINE_END))
        statements = [*first, self.remember(fields, verdict)]
        if fields[1] == b"PREPARE" and verdict is Verdict.VALID:
            statements.append(self.remember([self.next_id(), b"EXECUTE", b"sl", b"k1"], Verdict.VALID))
        if fields[1] == b"SET":
            # A read would hold the value, too.
            self.values = None
        return statements

    def opening(self, database):
        """A CONNECT, in some cases with something inside a field."""
        fields, verdict = [database.encode(), self.credential.encode()], Verdict.VALID
        kind = self.random.random()
        if kind < 0.05:
            line = self.beginning(self.next_id()) + b"CONNECT " + b" ".join(fields)
            return Message(line + LINE_END, Verdict.MALFORMED)
        if kind < 0.3:
            at = self.random.randint(0, 1)
            fields[at], verdict = self.insert(fields[at], self.next_id())
            if at == 0 and verdict is Verdict.VALID:
                # The name of another database.
                verdict = Verdict.UNCLEAR
        return Message(b"CONNECT " + b" ".join(fields) + LINE_END, verdict)

    def unfinished(self):
        """The beginning of a message, without its end."""
        statement_id = self.next_id()
        line = b"QUERY %b WRITE k1 %b/x" % (statement_id, statement_id)
        hidden = self.hidden(statement_id)
        end = self.random.choice([b"", b"\r", b"\n", b"\n\r", b"\r\r", b"\n" + hidden, b"\r" + hidden + b"\n"])
        return line[:self.random.randint(1, len(line))] if not end else line + end
