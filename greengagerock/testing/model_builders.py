"""Builders of hosts, services, endpoints and node configurations for tests."""

from greengagerock.control.commands import HostRecord
from greengagerock.model import Announcement, Endpoint, PathKey, Service
from greengagerock.node.node_config import NodeConfig


def build_host(name, zone="zone-1", region="region-1", port=9000):
    """Return a host's record."""
    return HostRecord(
        name, zone, region, f"127.0.0.1:{port}", f"127.0.0.1:{port + 1}", f"{name}-1"
    )


def build_config(name, zone="zone-1", voters=None, port=9000, seed=1):
    """Return a node's configuration; without ``voters`` the host is the only voter."""
    host = build_host(name, zone, port=port)
    initial_voters = voters or {name: host.address}
    return NodeConfig(host, tuple(initial_voters.values()), initial_voters, seed)


def build_service(name="till", slots=16, **rules):
    """Return a service that takes its key from path segment 2."""
    return Service(name, PathKey(2), slots, **rules)


def build_endpoint(name, service="till", zone="zone-1", **fields):
    """Return an endpoint's record."""
    return Endpoint(name, service, zone, "127.0.0.1:1", f"{name}-1", **fields)


def build_announcement(name, service="till", zone="zone-1", incarnation=None, **fields):
    """Return an endpoint's announcement."""
    return Announcement(name, service, zone, "127.0.0.1:1", incarnation or f"{name}-1", **fields)
