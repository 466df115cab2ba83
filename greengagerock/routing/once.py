"""The memory that keeps a request with an Idempotency-Key from running twice."""

from collections import OrderedDict
from typing import Literal

import msgspec
import xxhash

RECORDERS = 3
REMEMBER_S = 120.0
MOST_REMEMBERED = 200_000

Verdict = Literal["first", "seen", "unsure"]


class KeyClaim(msgspec.Struct, frozen=True, tag="key-claim"):
    """A router asks a recorder whether it has seen an idempotency key.

    Attributes:
        token: The router's request.
        service: Service of the request.
        key: The idempotency key.
        request_id: Who claims; the same claim sent twice gets the same answer.
    """

    token: int
    service: str
    key: str
    request_id: str


class KeyVerdict(msgspec.Struct, frozen=True, tag="key-verdict"):
    """A recorder's answer.

    Attributes:
        token: The router's request.
        recorder: Host name of the recorder.
        verdict: ``first`` if nobody else has claimed the key, ``seen`` if somebody has,
            ``unsure`` if the recorder has not run for long enough to know.
    """

    token: int
    recorder: str
    verdict: Verdict


class KeyRelease(msgspec.Struct, frozen=True, tag="key-release"):
    """The claimed request was certainly not run, so another may run."""

    service: str
    key: str
    request_id: str


class MemoryRequest(msgspec.Struct, frozen=True, tag="memory-request"):
    """A restarted recorder asks another one for the claims that it should know."""

    recorder: str


class MemoryShare(msgspec.Struct, frozen=True, tag="memory-share"):
    """The claims that a restarted recorder should know.

    Attributes:
        sender: Host name of the sender.
        claims: Triples of service, idempotency key and request id.
    """

    sender: str
    claims: tuple[tuple[str, str, str], ...]


class OnceMemory:
    """Remembers who claimed which idempotency key.

    Args:
        started_s: When this host started; it cannot know of earlier claims.

    Examples:
        >>> memory = OnceMemory(0.0)
        >>> memory.claim(KeyClaim(1, "till", "k", "r1"), 130.0)
        'first'
        >>> memory.claim(KeyClaim(1, "till", "k", "r1"), 131.0)
        'first'
        >>> memory.claim(KeyClaim(2, "till", "k", "r2"), 132.0)
        'seen'
    """

    __slots__ = ("claims", "released", "sure_from_s")

    def __init__(self, started_s):
        self.claims = OrderedDict()
        self.released = OrderedDict()
        self.sure_from_s = started_s + REMEMBER_S

    def trust_from(self, now_s):
        """Count as sure from now on: no request can have been claimed before."""
        self.sure_from_s = min(self.sure_from_s, now_s)

    def claim(self, claim, now_s):
        """Record a claim and return the verdict."""
        self._forget_old(now_s)
        name = (claim.service, claim.key)
        holder = self.claims.get(name)
        if holder is not None:
            return "first" if holder[0] == claim.request_id else "seen"
        if (*name, claim.request_id) not in self.released:
            self.claims[name] = (claim.request_id, now_s)
        return "first" if now_s >= self.sure_from_s else "unsure"

    def share_with(self, recorder, hosts):
        """Return the claims that another recorder should know too.

        Args:
            recorder: Host name of that recorder.
            hosts: ``RouteHost`` objects of the whole system.
        """
        hosts = tuple(hosts)
        return tuple(
            (service, key, holder[0])
            for (service, key), holder in self.claims.items()
            if recorder in {host.name for host in choose_recorders(hosts, service, key)}
        )

    def take_share(self, claims, now_s):
        """Take in claims that another recorder remembers."""
        for service, key, request_id in claims:
            self.claims.setdefault((service, key), (request_id, now_s))

    def release(self, release, now_s):
        """Forget a claim whose request was not run."""
        name = (release.service, release.key)
        # The release may overtake the claim, which then must not be recorded.
        self.released[(*name, release.request_id)] = now_s
        holder = self.claims.get(name)
        if holder is not None and holder[0] == release.request_id:
            del self.claims[name]

    def _forget_old(self, now_s):
        while self.released and now_s - next(iter(self.released.values())) > REMEMBER_S:
            self.released.popitem(last=False)
        while self.claims:
            name, (_, claimed_s) = next(iter(self.claims.items()))
            if now_s - claimed_s < REMEMBER_S and len(self.claims) < MOST_REMEMBERED:
                return
            del self.claims[name]


def rank(host, service, key):
    """Return the rank of a host for a key; the lowest ranks are its recorders."""
    return xxhash.xxh3_64_intdigest(f"{host}\0{service}\0{key}".encode())


def choose_recorders(hosts, service, key):
    """Return the hosts that remember a key, in different zones where possible.

    Args:
        hosts: ``RouteHost`` objects of the whole system.
        service: Service name.
        key: The idempotency key.

    Returns:
        Up to ``RECORDERS`` hosts, the same for every router with the same hosts.

    References:
        D. Thaler, C. Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
        IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    ranked = sorted(hosts, key=lambda host: rank(host.name, service, key))
    best_of_zone = {}
    for host in ranked:
        best_of_zone.setdefault(host.zone, host)
    chosen = list(best_of_zone.values())[:RECORDERS]
    chosen += [host for host in ranked if host not in chosen][: RECORDERS - len(chosen)]
    return tuple(chosen)
