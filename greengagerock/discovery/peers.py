"""The controllers that a host has heard of."""

# A controller that was silent for so long is no longer passed on to others.
FORGET_AFTER_S = 30.0


class Peer:
    """Another controller.

    Attributes:
        member: Its identity and link address.
        zone: Its availability zone.
        heard_s: When its newest hello came.
        leaving: Whether it said that it stops.
    """

    __slots__ = ("heard_s", "leaving", "member", "zone")

    def __init__(self, member, zone, heard_s, leaving):
        self.member = member
        self.zone = zone
        self.heard_s = heard_s
        self.leaving = leaving


class PeerBook:
    """Controllers by link address, and addresses known only by name.

    Attributes:
        peers: ``Peer`` objects by link address.
        addresses: When each address was last confirmed by anybody.
    """

    def __init__(self):
        self.peers = {}
        self.addresses = {}

    def note_hello(self, hello, now_s):
        """Take in a ``ControllerHello``."""
        address = hello.member.address
        self.peers[address] = Peer(hello.member, hello.zone, now_s, hello.leaving)
        self.addresses[address] = now_s

    def note_addresses(self, addresses, now_s):
        """Take in addresses that another host passed on."""
        for address in addresses:
            self.addresses.setdefault(address, now_s)

    def note_heard(self, address, now_s):
        """Note a sign of life."""
        self.addresses[address] = now_s
        if address in self.peers:
            self.peers[address].heard_s = now_s

    def known(self, now_s):
        """Return the link addresses that were confirmed lately."""
        for address in [a for a, at in self.addresses.items() if now_s - at > FORGET_AFTER_S]:
            del self.addresses[address]
            self.peers.pop(address, None)
        return tuple(self.addresses)
