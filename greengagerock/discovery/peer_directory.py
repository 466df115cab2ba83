"""Directory of the other controllers of the site."""

# Silence after which a controller is removed from the directory.
PEER_EXPIRY_S = 30.0


class Peer:
    """Another controller.

    Attributes:
        member: Identity and link address.
        zone: Availability zone.
        last_contact_s: Time of the newest message from it.
        is_leaving: Whether it has reported that it is stopping.
    """

    __slots__ = ("last_contact_s", "is_leaving", "member", "zone")

    def __init__(self, member, zone, last_contact_s, is_leaving):
        self.member = member
        self.zone = zone
        self.last_contact_s = last_contact_s
        self.is_leaving = is_leaving


class PeerDirectory:
    """Controllers that have sent a hello, and addresses that other controllers have sent.

    Attributes:
        peers: ``Peer`` objects by link address.
        confirmed_s_by_address: Time of the last message from each link address; before any
            message, the time at which another controller first sent the address.
    """

    def __init__(self):
        self.peers = {}
        self.confirmed_s_by_address = {}

    def record_hello(self, hello, now_s):
        """Record the sender of a ``ControllerHello``."""
        address = hello.member.address
        self.peers[address] = Peer(hello.member, hello.zone, now_s, hello.leaving)
        self.confirmed_s_by_address[address] = now_s

    def add_addresses(self, addresses, now_s):
        """Add addresses that another controller has sent."""
        for address in addresses:
            self.confirmed_s_by_address.setdefault(address, now_s)

    def record_contact(self, address, now_s):
        """Record a message from an address."""
        self.confirmed_s_by_address[address] = now_s
        if address in self.peers:
            self.peers[address].last_contact_s = now_s

    def current_addresses(self, now_s):
        """Remove expired addresses and return the others."""
        for address in [
            a
            for a, confirmed_s in self.confirmed_s_by_address.items()
            if now_s - confirmed_s > PEER_EXPIRY_S
        ]:
            del self.confirmed_s_by_address[address]
            self.peers.pop(address, None)
        return tuple(self.confirmed_s_by_address)
