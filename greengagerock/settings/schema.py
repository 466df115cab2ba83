"""The fields of a settings file."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}$")]
Ip = Annotated[str, Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-fA-F:]*:[0-9a-fA-F:.]*$")]
Address = Annotated[str, Meta(pattern=r"^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$")]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Role = Literal["router", "voter"]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the daemon listens on.

    Attributes:
        ip: IP address of this host.
        caller_port: HTTP port for callers.
        operator_port: HTTP port for operators and metrics.
        endpoint_port: HTTP port for announcements of endpoints.
        link_port: TCP port for links to the system's other hosts.
    """

    ip: Ip = "127.0.0.1"
    caller_port: Port = 8080
    operator_port: Port = 8081
    endpoint_port: Port = 8082
    link_port: Port = 8083


class VoterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the voters that bootstrap the replicated log.

    Attributes:
        host: Its host name.
        address: Its link address ``IP:PORT``.
    """

    host: Name
    address: Address


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the HTTP servers, and of the HTTP client for endpoints.

    Attributes:
        caller_threads: Number of callers' requests served concurrently.
        queued_connections: Maximum number of connections that wait to be accepted, on each port.
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a request body.
        idle_connection_s: Time after which an idle connection is closed.
        connect_timeout_s: Timeout of connecting to an endpoint.
        silence_timeout_s: Longest pause within an endpoint's response; accepted, but not used.
    """

    caller_threads: Annotated[int, Meta(ge=1, le=512)] = 32
    queued_connections: Annotated[int, Meta(ge=1, le=10_000)] = 256
    header_bytes: Annotated[int, Meta(ge=1_024, le=1_048_576)] = 65_536
    body_bytes: Annotated[int, Meta(ge=1, le=1_099_511_627_776)] = 1_073_741_824
    idle_connection_s: Annotated[float, Meta(ge=1, le=3_600)] = 10.0
    connect_timeout_s: Annotated[float, Meta(ge=0.01, le=60)] = 1.0
    silence_timeout_s: Annotated[float, Meta(ge=0.1, le=600)] = 10.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the log.

    Attributes:
        level: Lowest level of events that are logged.
        file: Path of the log file, or the empty string for the standard error stream.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    file: str = ""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one daemon.

    Attributes:
        host: Unique name of this host.
        availability_zone: Its availability zone.
        region: Its region.
        roles: Its roles; the only host of a system has both roles.
        listen: Addresses that it listens on.
        voters: The voters that bootstrap the replicated log; empty for a system of one host.
        data_folder: Folder of a voter's state; empty for a temporary folder.
        limits: Limits of the HTTP servers and client.
        log: Settings of the log.
    """

    host: Name
    availability_zone: Name
    region: Name = "default"
    roles: tuple[Role, ...] = ("router", "voter")
    listen: ListenSettings = msgspec.field(default_factory=ListenSettings)
    voters: tuple[VoterSettings, ...] = ()
    data_folder: str = ""
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)

    @property
    def is_voter(self):
        """Whether this host is a voter."""
        return "voter" in self.roles

    @property
    def link_address(self):
        """Link address of this host."""
        return join_address(self.listen.ip, self.listen.link_port)

    @property
    def voter_addresses(self):
        """Link addresses of the voters by host name."""
        if not self.voters:
            return {self.host: self.link_address}
        return {voter.host: voter.address for voter in self.voters}


def join_address(ip, port):
    """Return ``IP:PORT``, with brackets around an IPv6 address.

    Examples:
        >>> join_address("::1", 80)
        '[::1]:80'
    """
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
