"""Routes with the recent deltas that produced them."""

from collections import deque

from greengagerock.model.routes import Routes, merge_deltas

MAX_DELTAS = 512


class RouteHistory:
    """The current routes, with recent deltas that bring older copies up to date.

    Attributes:
        routes: The current routes.
        deltas: Recent deltas, oldest first.
    """

    __slots__ = ("deltas", "routes")

    def __init__(self):
        self.routes = Routes()
        self.deltas = deque(maxlen=MAX_DELTAS)

    @property
    def version(self):
        """Version of the routes."""
        return self.routes.version

    def publish(self, delta):
        """Apply a delta and add it to the history.

        Returns:
            False if the delta does not follow the current version and was ignored.
        """
        if delta.version <= self.routes.version:
            return False
        if not self.routes.apply(delta):
            return False
        if delta.base == 0:
            self.deltas.clear()
        self.deltas.append(delta)
        return True

    def amend(self, delta):
        """Merge a delta into the newest one, which has the same version."""
        newest = self.deltas.pop()
        self.routes.version = newest.base
        self.routes.apply(delta)
        self.deltas.append(merge_deltas((newest, delta)))

    def replace(self, routes):
        """Replace the routes and clear the history."""
        self.routes = routes
        self.deltas.clear()

    def delta_since(self, version):
        """Return the delta from ``version`` to the current one, or ``None`` if up to date.

        The delta is complete if ``version`` is older than all kept deltas.
        """
        if version >= self.routes.version:
            return None
        later_deltas = [delta for delta in self.deltas if delta.version > version]
        if version and later_deltas and later_deltas[0].base <= version:
            return merge_deltas(later_deltas)
        return self.routes.full_delta()
