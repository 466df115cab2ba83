"""Claims of idempotency keys at recorders, which keep a request from running twice."""

from collections import OrderedDict
from typing import Literal

import msgspec
import xxhash

# Number of hosts that record the claims of a key.
RECORDER_COUNT = 3
# Time for which a claim is stored.
CLAIM_LIFETIME_S = 120.0
# Number of claims that a recorder stores.
MAX_CLAIMS = 200_000

ClaimResult = Literal["first", "seen", "unsure"]


class KeyClaim(msgspec.Struct, frozen=True, tag="key-claim"):
    """Request of a router to a recorder to record a claim of an idempotency key.

    Attributes:
        token: Token of the router's request.
        service: Service of the request.
        key: The idempotency key.
        request_id: Id of the claiming request; a repeated claim gets the same result.
    """

    token: int
    service: str
    key: str
    request_id: str


class KeyClaimResult(msgspec.Struct, frozen=True, tag="key-verdict"):
    """Reply of a recorder with the result of a claim.

    Attributes:
        token: Token of the router's request.
        recorder: Host name of the recorder.
        result: ``first`` if no other request has claimed the key, ``seen`` if another one has,
            ``unsure`` if the recorder has not run for long enough to rule that out.
    """

    token: int
    recorder: str
    result: ClaimResult = msgspec.field(name="verdict")


class KeyRelease(msgspec.Struct, frozen=True, tag="key-release"):
    """Message that a claimed request was certainly not run, so that another one may run."""

    service: str
    key: str
    request_id: str


class ClaimsRequest(msgspec.Struct, frozen=True, tag="memory-request"):
    """Request of a restarted recorder for the claims of keys that it is a recorder of."""

    recorder: str


class ClaimsReply(msgspec.Struct, frozen=True, tag="memory-share"):
    """Reply to a ``ClaimsRequest`` with the claims that the restarted recorder is to store.

    Attributes:
        sender: Host name of the sender.
        claims: Tuples of service, idempotency key and request id.
    """

    sender: str
    claims: tuple[tuple[str, str, str], ...]


class ClaimStore:
    """The claims of idempotency keys that a recorder stores.

    Args:
        started_s: When this host started; it may lack earlier claims.

    Attributes:
        claims: Request id and time of the claim by (service, key).
        released: Time of the release by (service, key, request id).
        complete_from_s: Time from which on no claim can be missing.

    Examples:
        >>> claim_store = ClaimStore(0.0)
        >>> claim_store.claim(KeyClaim(1, "till", "k", "r1"), 130.0)
        'first'
        >>> claim_store.claim(KeyClaim(1, "till", "k", "r1"), 131.0)
        'first'
        >>> claim_store.claim(KeyClaim(2, "till", "k", "r2"), 132.0)
        'seen'
    """

    __slots__ = ("claims", "complete_from_s", "released")

    def __init__(self, started_s):
        self.claims = OrderedDict()
        self.released = OrderedDict()
        self.complete_from_s = started_s + CLAIM_LIFETIME_S

    def mark_complete(self, now_s):
        """Declare that no claim is missing from now on."""
        self.complete_from_s = min(self.complete_from_s, now_s)

    def claim(self, claim, now_s):
        """Record a claim and return its result."""
        self._drop_expired(now_s)
        claim_key = (claim.service, claim.key)
        entry = self.claims.get(claim_key)
        if entry is not None:
            return "first" if entry[0] == claim.request_id else "seen"
        if (*claim_key, claim.request_id) not in self.released:
            self.claims[claim_key] = (claim.request_id, now_s)
        return "first" if now_s >= self.complete_from_s else "unsure"

    def claims_for_recorder(self, recorder, hosts):
        """Return the claims that another recorder has to store, too.

        Args:
            recorder: Host name of that recorder.
            hosts: ``RouteHost`` objects of the whole system.
        """
        hosts = tuple(hosts)
        return tuple(
            (service, key, entry[0])
            for (service, key), entry in self.claims.items()
            if recorder in {host.name for host in choose_recorders(hosts, service, key)}
        )

    def add_claims(self, claims, now_s):
        """Store claims that another recorder has sent."""
        for service, key, request_id in claims:
            self.claims.setdefault((service, key), (request_id, now_s))

    def release(self, release, now_s):
        """Remove the claim of a request that was not run."""
        claim_key = (release.service, release.key)
        # The release may arrive before the claim, which then must not be recorded.
        self.released[(*claim_key, release.request_id)] = now_s
        entry = self.claims.get(claim_key)
        if entry is not None and entry[0] == release.request_id:
            del self.claims[claim_key]

    def _drop_expired(self, now_s):
        while self.released and now_s - next(iter(self.released.values())) > CLAIM_LIFETIME_S:
            self.released.popitem(last=False)
        while self.claims:
            claim_key, (_, claimed_s) = next(iter(self.claims.items()))
            if now_s - claimed_s < CLAIM_LIFETIME_S and len(self.claims) < MAX_CLAIMS:
                return
            del self.claims[claim_key]


def recorder_rank(host, service, key):
    """Return the rank of a host for a key; the hosts with the lowest ranks are its recorders."""
    return xxhash.xxh3_64_intdigest(f"{host}\0{service}\0{key}".encode())


def choose_recorders(hosts, service, key):
    """Return the hosts that record claims of a key, in different zones where possible.

    Args:
        hosts: ``RouteHost`` objects of the whole system.
        service: Name of the service.
        key: The idempotency key.

    Returns:
        Up to ``RECORDER_COUNT`` hosts; the same arguments give the same hosts at every router.

    References:
        D. Thaler, C. Ravishankar: Using Name-Based Mappings to Increase Hit Rates,
        IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    ranked = sorted(hosts, key=lambda host: recorder_rank(host.name, service, key))
    best_by_zone = {}
    for host in ranked:
        best_by_zone.setdefault(host.zone, host)
    chosen = list(best_by_zone.values())[:RECORDER_COUNT]
    chosen += [host for host in ranked if host not in chosen][: RECORDER_COUNT - len(chosen)]
    return tuple(chosen)
