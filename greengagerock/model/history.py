"""Routes together with the recent deltas that led to them."""

from collections import deque

from greengagerock.model.routes import Routes, merge_deltas

DELTAS_KEPT = 512


class RouteHistory:
    """Routes that can tell what changed since an earlier version.

    Attributes:
        routes: The current routes.
        deltas: Recent deltas, oldest first.
    """

    __slots__ = ("deltas", "routes")

    def __init__(self):
        self.routes = Routes()
        self.deltas = deque(maxlen=DELTAS_KEPT)

    @property
    def version(self):
        """Version of the routes."""
        return self.routes.version

    def publish(self, delta):
        """Apply a delta and keep it.

        Returns:
            False if it does not follow the current version and was ignored.
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
        """Extend the newest delta by another one of the same version."""
        newest = self.deltas.pop()
        self.routes.version = newest.base
        self.routes.apply(delta)
        self.deltas.append(merge_deltas((newest, delta)))

    def replace(self, routes):
        """Start anew with other routes and no history."""
        self.routes = routes
        self.deltas.clear()

    def delta_since(self, version):
        """Return the delta from ``version`` to now, or ``None`` if there is none.

        A version that is older than the kept deltas gets everything.
        """
        if version >= self.routes.version:
            return None
        following = [delta for delta in self.deltas if delta.version > version]
        if version and following and following[0].base <= version:
            return merge_deltas(following)
        return self.routes.full_delta()
