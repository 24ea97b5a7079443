"""The statements that callers have sent to one database group, and the check that endpoints run nothing else."""

# Prepared statements may have another name at the endpoint.
RENAMED = "EXECUTE"


def without_name(text):
    """The text of an EXECUTE without the name of the prepared statement; any other text as it is."""
    verb, _, rest = text.partition(" ")
    return verb + "".join(rest.partition(" ")[1:]) if verb == RENAMED else text


class SentStatements:
    """Texts are decoded as Latin-1, so that they hold any bytes."""

    def __init__(self, report_violation):
        self.report_violation = report_violation
        # By id: the texts, each with the mode and the shape of the prepared statement that it executes, or None.
        self.sent = {}
        # Statements as (id, text): those that reached an endpoint, and those that a caller was told were malformed.
        self.arrived, self.refused = set(), set()

    def add(self, statement_id, text, prepared=None):
        """To be called before the statement is sent."""
        self.sent.setdefault(statement_id, []).append((without_name(text), prepared))

    def refuse(self, statement_id, text):
        """Notes that the caller was told that the statement is malformed."""
        statement = (statement_id, without_name(text))
        self.refused.add(statement)
        if statement in self.arrived:
            self.report_violation(f"UNASKED: {statement_id} ran, and its message was refused: {text[:80]!r}")

    def check(self, where, statement_id, text, prepared):
        """Returns whether a caller sent this statement; `prepared` is what the connection has by the name, or None."""
        text = without_name(text)
        known = self.sent.get(statement_id, [])
        what = f"{where} got {statement_id!r} {text[:80]!r}"
        self.arrived.add((statement_id, text))
        if not known:
            self.report_violation(f"UNASKED: {what}, which no caller sent")
        elif text not in [sent for sent, _ in known]:
            self.report_violation(f"UNASKED: {what}, but its caller sent {known[0][0][:80]!r}")
        elif prepared and (text, prepared) not in known:
            self.report_violation(f"PINNED: {what} for {str(prepared)[:80]}, "
                                  f"but its caller prepared {str(known[0][1])[:80]}")
        elif (statement_id, text) in self.refused:
            self.report_violation(f"UNASKED: {what}, whose message had been refused")
        else:
            return True
        return False
