"""Parts of a process that follow a script or fail, for tests of the event loop."""

from types import SimpleNamespace

from greengagerock.core import Timestamp


class ScriptedNode:
    """A node that returns the effects of a script, one item for each event.

    Args:
        script: Lists of effects, or exceptions to raise.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.abandoned = []
        self.timeline = SimpleNamespace(stamp=lambda: Timestamp(1))

    def start(self):
        """Return no effects."""
        return []

    def handle(self, event, now_s):
        """Return the next effects of the script."""
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def abandon(self, event):
        """Note an event whose handling has failed."""
        self.abandoned.append(event)

    def next_due_s(self):
        """Return that no timer is due."""
        return None


class FailingWriter:
    """A record writer that accepts no effect."""

    def submit(self, effect):
        """Raise an unexpected exception."""
        raise RuntimeError("unexpected")


class FailingLinks:
    """Links whose messages cannot be received.

    Args:
        receive_fd: A readable file descriptor.
    """

    def __init__(self, receive_fd):
        self.receive_fd = receive_fd

    def receive(self):
        """Raise an unexpected exception."""
        raise RuntimeError("unexpected")
