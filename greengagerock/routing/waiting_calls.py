"""The bounded queue of calls that wait at a router for a free slot of an endpoint."""

# Each waiting call occupies a thread of the server.
MAX_CALLS = 64
MAX_BODY_BYTES = 1_000_000


class WaitingCalls:
    """Calls in the order in which they are sent: by priority and then by remaining time.

    Args:
        max_calls: Largest number of calls.
        max_body_bytes: Largest size of their bodies together, in bytes.

    Attributes:
        entries: Pairs of the call and the time up to which it waits, by token.
        body_bytes: Size of the bodies of all calls.
    """

    __slots__ = ("body_bytes", "entries", "max_body_bytes", "max_calls")

    def __init__(self, max_calls=MAX_CALLS, max_body_bytes=MAX_BODY_BYTES):
        self.max_calls = max_calls
        self.max_body_bytes = max_body_bytes
        self.entries = {}
        self.body_bytes = 0

    def __len__(self):
        return len(self.entries)

    def __contains__(self, token):
        return token in self.entries

    def put(self, call, until_s):
        """Add a call, or change until when it waits.

        Returns:
            The calls that the queue has no room for, the last ones in its order; they are removed.
        """
        if call.token not in self.entries:
            self.body_bytes += call.body_bytes
        self.entries[call.token] = (call, until_s)
        excess = []
        if len(self.entries) <= self.max_calls and self.body_bytes <= self.max_body_bytes:
            return excess
        for last in reversed(self.in_order()):
            excess.append(last)
            self.remove(last.token)
            if len(self.entries) <= self.max_calls and self.body_bytes <= self.max_body_bytes:
                break
        return excess

    def remove(self, token):
        """Remove a call, if it waits; return whether it did."""
        entry = self.entries.pop(token, None)
        if entry is None:
            return False
        self.body_bytes -= entry[0].body_bytes
        return True

    def until_s(self, token):
        """Return until when a call waits, in monotonic seconds."""
        return self.entries[token][1]

    def in_order(self):
        """Return the calls in the order in which they are sent."""
        return sorted((call for call, _ in self.entries.values()), key=order_of)

    def count_ahead(self, call):
        """Return the number of waiting calls of the same service that are sent before a call."""
        order = order_of(call)
        return sum(
            other.service == call.service and order_of(other) < order
            for other, _ in self.entries.values()
        )


def order_of(call):
    """Return the sort key of a call; calls without a priority come last."""
    priority = call.route.priority
    return (float("inf") if priority is None else priority, call.deadline_s, call.token)
