"""The requests that a connection to an endpoint has carried.

An endpoint may repeat a response later, where the response to another request is expected. Its id
is all that says which request it belongs to. Therefore **a connection carries a request id only
once**: a response with the id of the expected request then belongs to the only attempt that was
sent on the connection with it, and after any other response the connection is closed. Who sends
the request, for whom, and how an earlier attempt ended makes no difference.

A refusal without an id ends its connection (``Upstream.send``), so that no copy of it can come.
"""

from collections import deque

# Number of requests that a connection remembers. A copy cannot pass a response to another request
# unnoticed, so an endpoint would have to hold it back for as many responses.
MAX_REMEMBERED_IDS = 32


class CarriedRequests:
    """The requests that were sent on one connection.

    Attributes:
        count: Number of requests.
        newest_ids: Ids of the last ``MAX_REMEMBERED_IDS``, newest last.

    Examples:
        >>> carried = CarriedRequests()
        >>> carried.add("r-1")
        >>> carried.may_carry("r-1"), carried.may_carry("r-2")
        (False, True)
    """

    __slots__ = ("count", "newest_ids")

    def __init__(self):
        self.count = 0
        self.newest_ids = deque(maxlen=MAX_REMEMBERED_IDS)

    def add(self, request_id):
        """Note that a request is sent; its id may be empty."""
        self.count += 1
        if request_id:
            self.newest_ids.append(request_id)

    def may_carry(self, request_id):
        """Return whether a response with this id could only belong to the next request."""
        return request_id not in self.newest_ids
