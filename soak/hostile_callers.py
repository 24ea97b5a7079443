"""Callers that send hostile messages, and check that each message gets one answer and that no refused message runs."""
import asyncio
import random
import time

from callers import NOT_EXECUTED_ERRORS
from hostile_messages import LINE_END, MessageSource, Verdict

# An answer takes at most this long while no fault is in effect, on a busy machine, too.
ANSWER_S = 6
# An answer too many follows within this time.
SURPLUS_S = 0.02
# The first callers send messages of about 1 MiB, each in one session, since such messages are held in memory.
LONG_CALLERS = 3
MAX_PIECES = 12
# A session that is ending may answer a malformed message with one of these; nothing succeeds in it any more.
ENDING_ERRORS = ("RETRY", "INDOUBT", "NOSUCHDB")


class SessionEnded(Exception):
    """The VM closed the session."""


class Answer:
    """What came for one message: the errors, the signatures and, unless the session ended, the state."""

    def __init__(self):
        self.errors, self.signatures, self.rows, self.state = [], [], 0, None


class HostileCaller:
    """Opens one session after another on random VMs, and sends several messages at a time, in pieces of any size."""

    def __init__(self, number, soak, group):
        self.name, self.soak, self.group = f"h{number}", soak, group
        # String seeds don't depend on the process.
        self.random = random.Random(f"hostile {soak.seed} {number}")
        self.source = MessageSource(self.name, self.random)
        self.source.credential = soak.credential(self.name)
        self.database = f"{('exact', 'own')[number // 2 % 2]}-{group.name}"
        self.message_count, self.owes_long_message = 0, number < LONG_CALLERS

    def report(self, text):
        self.group.report_violation(f"ANSWERS: {self.name} on {self.vm.name}: {text}")

    def check(self, holds, text):
        """Reports a violation and ends the session, whose further answers would be violations, too."""
        if not holds:
            self.report(text)
            raise ConnectionAbortedError(text)

    async def run(self, stop):
        while not stop.is_set():
            self.vm = self.random.choice(self.soak.vms)
            self.opened_at, self.state = time.monotonic(), "I"
            self.notified = self.refused = self.ending = False
            self.early_errors = []
            try:
                await self.run_session(stop)
            except SessionEnded as end:
                if not (self.refused or self.notified or self.disturbed()):
                    self.report(f"the session ended without a fault or a notice, {end}")
            except (OSError, asyncio.TimeoutError):
                # The process doesn't run or is paused, or the connection was reset, perhaps because of unread messages.
                pass
            await asyncio.sleep(0.02 + self.random.random() * 0.1)

    def disturbed(self):
        """Whether a fault has affected any VM since the session began; others may serve it as gateways."""
        return self.soak.last_disturbance() > self.opened_at

    async def run_session(self, stop):
        self.source.begin_session()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.vm.callers)
        try:
            await self.open()
            for _ in range(self.random.randint(1, 4)):
                await self.exchange(self.messages())
                if stop.is_set():
                    return
            await self.leave()
        finally:
            self.writer.close()

    async def open(self):
        opening = self.source.opening(self.database)
        # Statements may follow the opening at once.
        following = [self.source.plain_read()] if self.random.random() < 0.3 else []
        await self.send([opening, *following])
        answer = await self.read_answer(opening)
        if opening.verdict is Verdict.MALFORMED:
            self.check(answer.state is None, f"{opening.data!r} opened a session")
        if answer.state is None:
            self.refused = True
            self.check(opening.verdict is not Verdict.VALID or "MALFORMED" not in answer.errors,
                       f"{opening.data!r} was answered with {answer.errors}")
            for message in following:
                self.group.sent.refuse(message.statement_id, message.text)
            raise SessionEnded
        for message in following:
            self.check_answer(message, await self.read_answer(message))

    def messages(self):
        """One to eight messages that are sent at a time, and a plain read after them."""
        if self.owes_long_message:
            self.owes_long_message = False
            return [*self.source.long_statements(), self.source.plain_read()]
        if self.random.random() < 0.25:
            return [*self.source.transaction(), self.source.plain_read()]
        return [*(self.source.statement() for _ in range(self.random.randint(1, 7))), self.source.plain_read()]

    async def exchange(self, messages):
        await self.send(messages)
        if self.random.random() < 0.05:
            # Leaves without reading the answers.
            raise ConnectionAbortedError
        for message in messages:
            self.check_answer(message, await self.read_answer(message))
        try:
            line = await asyncio.wait_for(self.reader.readuntil(LINE_END), SURPLUS_S)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        # A VM that stops tells it to callers that await nothing. This error belongs to the next message.
        self.check(line.startswith(b"ERROR RETRY "), f"{line[:80]!r} came after the answer to {messages[-1].data!r}")
        self.notified = True
        self.early_errors.append("RETRY")

    async def send(self, messages):
        for message in messages:
            # A refused message isn't noted as sent, so that nothing of it may run.
            if message.statement_id and message.verdict in (Verdict.VALID, Verdict.UNCLEAR):
                self.group.sent.add(message.statement_id, message.text, message.prepared)
        self.message_count += len(messages)
        data = b"".join(message.data for message in messages)
        kind = self.random.random()
        if kind < 0.3:
            cuts = []
        elif kind < 0.4 and len(data) < 300:
            cuts = list(range(1, len(data)))
        else:
            cuts = sorted(self.random.randint(0, len(data)) for _ in range(self.random.randint(1, MAX_PIECES)))
        for begin, end in zip([0, *cuts], [*cuts, len(data)]):
            self.writer.write(data[begin:end])
            # A paused process doesn't read.
            await asyncio.wait_for(self.writer.drain(), ANSWER_S)
            await asyncio.sleep(self.random.choice([0, 0, 0.002, 0.01]) if len(cuts) <= MAX_PIECES else 0)

    async def read_answer(self, message):
        """Reads up to READY, or up to the end of the session if that follows an error."""
        answer = Answer()
        answer.errors, self.early_errors = self.early_errors, []
        while answer.state is None:
            try:
                line = await asyncio.wait_for(self.reader.readuntil(LINE_END), ANSWER_S)
            except asyncio.TimeoutError:
                self.check(self.disturbed(), f"no answer to {message.data[:200]!r} within {ANSWER_S} s")
                raise
            except (asyncio.IncompleteReadError, ConnectionError) as failure:
                if not answer.errors:
                    age_s = time.monotonic() - self.opened_at
                    raise SessionEnded(f"{age_s:.3f} s after its begin, before the answer to {message.data[:200]!r}: "
                                       f"{failure!r}") from failure
                return answer
            except asyncio.LimitOverrunError as failure:
                self.report(f"a very long line came as an answer to {message.data[:200]!r}")
                raise ConnectionAbortedError from failure
            word, _, rest = line[:-len(LINE_END)].decode("latin-1").partition(" ")
            if word == "ROW":
                answer.rows += 1
            elif word == "COMPLETE":
                answer.signatures.append(rest)
            elif word == "ERROR":
                answer.errors.append(rest.partition(" ")[0])
                self.notified = self.notified or answer.errors[-1] in ENDING_ERRORS
                self.refused = self.refused or answer.errors[-1] == "TOOLARGE"
            elif word == "READY":
                answer.state = rest.partition(" ")[0]
            else:
                self.check(False, f"{line[:80]!r} came as an answer to {message.data[:200]!r}")
        return answer

    def check_answer(self, message, answer):
        what = f"{message.data[:200]!r} ({message.verdict.name}) was answered with {answer.errors + answer.signatures}"
        previous_state, self.state = self.state, answer.state
        self.check(len(answer.errors) + len(answer.signatures) == 1, what)
        code = answer.errors[0] if answer.errors else None
        if message.verdict in (Verdict.MALFORMED, Verdict.TOO_LONG):
            # A session that ends may answer in another way.
            self.ending = self.ending or code in ENDING_ERRORS
            self.check(code in ("MALFORMED", "TOOLARGE", *ENDING_ERRORS), what)
            return
        self.check(not self.ending or code, f"{what}, after a refusal that ends a session")
        if code == "MALFORMED":
            ends_transaction = message.text in ("COMMIT", "ROLLBACK")
            self.check(message.verdict is Verdict.UNCLEAR or previous_state == "E" or ends_transaction, what)
            self.group.sent.refuse(message.statement_id, message.text)
        if code is None and (answer.rows or message.text.startswith(("READ ", "WRITE "))):
            self.check(answer.signatures[0].startswith(message.statement_id + "."), what)
        if message.text.startswith("WRITE ") and previous_state == "I" and code in NOT_EXECUTED_ERRORS:
            data = message.text.partition(" ")[2].partition(" ")[2]
            self.group.reported_not_executed.add(data.partition("/")[0] if "/" in data else message.statement_id)

    async def leave(self):
        """Ends the session: with QUIT, by a close, or in the middle of a message."""
        kind = self.random.random()
        if kind < 0.2:
            self.writer.write(b"QUIT" + LINE_END)
        elif kind < 0.8:
            self.writer.write(self.source.unfinished())
            await self.writer.drain()
            # Nothing answers a message before its end.
            try:
                line = await asyncio.wait_for(self.reader.readuntil(LINE_END), SURPLUS_S)
                self.check(line.startswith(b"ERROR RETRY "), f"{line[:80]!r} came in the middle of a message")
            except (asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
        if kind < 0.5:
            self.writer.transport.abort()
