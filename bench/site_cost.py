"""Control cost of an idle site by role and size: processor time and bytes sent.

Run with ``python -m bench.site_cost``.
"""

import time
from collections import defaultdict

from bench.report import write_report
from greengagerock.core import Timestamp
from greengagerock.testing.fake_site import (
    FakeReportingEndpoint,
    build_fake_site,
    find_leader_name,
)
from greengagerock.transport import Envelope, encode_envelope
from greengagerock.transport.monitor import MessageSequence

SIZES = ((12, 31), (24, 62), (48, 124), (88, 194))
IDLE_S = 10.0
MESSAGE_SEQUENCE = MessageSequence(1 << 31, 1000, 1 << 31, 1000)


class CostMeter:
    """Counts bytes sent and processor time of each host of a site.

    Args:
        site: The ``FakeSite``, whose sending and event handling are wrapped.

    Attributes:
        cpu_s: Processor time of events in seconds, by host.
        sent_bytes: Encoded bytes sent, by host.
    """

    def __init__(self, site):
        self.site = site
        self.cpu_s = defaultdict(float)
        self.sent_bytes = defaultdict(int)
        self._send, self._feed = site._send, site._feed
        site._send, site._feed = self.send, self.feed

    def send(self, host, address, message):
        """Count a message and send it."""
        name = host.config.host.name
        envelope = Envelope(
            name, host.config.host.address, Timestamp(1), message, MESSAGE_SEQUENCE
        )
        self.sent_bytes[name] += len(encode_envelope(envelope))
        self._send(host, address, message)

    def feed(self, host, event):
        """Handle an event and add its processor time."""
        start_s = time.process_time()
        self._feed(host, event)
        self.cpu_s[host.config.host.name] += time.process_time() - start_s


def measure(routers, endpoints):
    """Return a row of figures for an idle site with the given numbers of routers and endpoints."""
    site = build_fake_site(routers=routers, reporting_endpoints=6)
    for number in range(7, endpoints + 1):
        site.add_reporting_endpoint(
            FakeReportingEndpoint(f"till-{number}", 1000 + number, started_ms=1000 + number)
        )
    site.run_for(30.0)
    meter = CostMeter(site)
    site.run_for(IDLE_S)
    leader = find_leader_name(site)
    router_names = [name for name in site.hosts if name.startswith("edge")]
    return {
        "routers": routers,
        "endpoints": endpoints,
        "leader_core_share": round(meter.cpu_s[leader] / IDLE_S, 4),
        "leader_bytes_per_s": round(meter.sent_bytes[leader] / IDLE_S),
        "router_core_share": round(
            sum(meter.cpu_s[n] for n in router_names) / len(router_names) / IDLE_S, 5
        ),
        "router_bytes_per_s": round(
            sum(meter.sent_bytes[n] for n in router_names) / len(router_names) / IDLE_S
        ),
    }


def main():
    """Measure all sizes and write a report."""
    write_report("site_cost", [measure(*size) for size in SIZES])


if __name__ == "__main__":
    main()
