"""Validation of settings files, which reports every fault with its location."""

import ipaddress
from typing import get_args, get_origin

import msgspec
import yaml

from greengagerock.core import GreengageError
from greengagerock.settings.schema import Settings
from greengagerock.settings.site import SiteSettings

# Errors of the library at malformed text. Its conversions of tagged values and of dates let those
# of Python's functions through.
MALFORMED_YAML = (yaml.YAMLError, ValueError, AttributeError, RecursionError)


class SettingsFault(msgspec.Struct, frozen=True):
    """One fault in a settings file.

    Attributes:
        path: Path of the field, as names joined by dots; empty for the whole file.
        line: 1-based line number, or 0 if unknown.
        problem: Description of the fault.
    """

    path: str
    line: int
    problem: str

    def __str__(self):
        line = f"line {self.line}: " if self.line else ""
        path = f"{self.path}: " if self.path else ""
        return f"{line}{path}{self.problem}"


class SettingsError(GreengageError):
    """A settings file is invalid.

    Args:
        faults: All faults in the file, as ``SettingsFault`` objects.

    Attributes:
        problems: The faults as a tuple.
    """

    def __init__(self, faults):
        self.problems = tuple(faults)
        super().__init__("bad-settings", "; ".join(str(fault) for fault in self.problems))


def load_settings(path):
    """Read and validate a settings file.

    Args:
        path: Path of the file.

    Returns:
        A ``Settings`` object, or a ``SiteSettings`` object if the file has a field ``role``.

    Raises:
        SettingsError: With all faults of the file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([SettingsFault("", 0, str(error))]) from error
    return parse_settings(text)


def load_site_settings(path):
    """Return the settings of a running host of a site, read again.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsError: If the file has faults, or no role, as one that is being written.
    """
    settings = load_settings(path)
    if not isinstance(settings, SiteSettings):
        raise SettingsError([SettingsFault("role", 0, "missing field")])
    return settings


def parse_settings(text):
    r"""Parse and validate the text of a settings file.

    Returns:
        A ``Settings`` object, or a ``SiteSettings`` object if the text has a field ``role``.

    Raises:
        SettingsError: With all faults of the text.

    Examples:
        >>> parse_settings("host: h1\navailability_zone: z1").host
        'h1'
        >>> parse_settings("host: h1\navailability_zone: z1\nrole: router\n"
        ...                "link_address: 10.0.0.1:80\nseeds: [10.0.0.2:80]\n"
        ...                "callers: 10.0.0.1:81").role
        'router'
    """
    try:
        data = yaml.safe_load(text)
        lines = _lines_by_path(yaml.compose(text))
    except MALFORMED_YAML as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        fault = SettingsFault("", line, getattr(error, "problem", None) or str(error))
        raise SettingsError([fault]) from error
    checker = _Checker(lines)
    kind = SiteSettings if isinstance(data, dict) and "role" in data else Settings
    checker.check(kind, data, ())
    if checker.faults:
        raise SettingsError(checker.faults)
    settings = msgspec.convert(data, kind)
    check_relations = _check_site_relations if kind is SiteSettings else _check_relations
    faults = check_relations(settings, checker)
    if faults:
        raise SettingsError(faults)
    return settings


def _lines_by_path(node, path=()):
    """Return the 1-based line number of each field of a YAML document."""
    if node is None:
        return {}
    lines = {path: node.start_mark.line + 1}
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            lines.update(_lines_by_path(value, (*path, key.value)))
            lines[(*path, key.value)] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for position, value in enumerate(node.value):
            lines.update(_lines_by_path(value, (*path, position)))
    return lines


class _Checker:
    """Validates each field on its own, so that one fault does not hide others.

    Args:
        lines: 1-based line number of each field by path.

    Attributes:
        faults: ``SettingsFault`` objects found so far.
    """

    def __init__(self, lines):
        self.lines = lines
        self.faults = []

    def fault(self, path, problem):
        """Record a fault."""
        self.faults.append(self.make_fault(path, problem))

    def make_fault(self, path, problem):
        """Return a fault at ``path``, with the line of its closest enclosing field."""
        name = ".".join(str(part) for part in path)
        closest = next((path[:n] for n in range(len(path), -1, -1) if path[:n] in self.lines), ())
        return SettingsFault(name, self.lines.get(closest, 0), problem)

    def check(self, kind, value, path):
        """Validate ``value`` against the type ``kind``."""
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            self._check_struct(kind, value, path)
        elif get_origin(kind) is tuple and isinstance(value, list):
            for position, item in enumerate(value):
                self.check(get_args(kind)[0], item, (*path, position))
        else:
            self._check_leaf(kind, value, path)

    def _check_struct(self, kind, value, path):
        if not isinstance(value, dict):
            self.fault(path, "expected a mapping of fields")
            return
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in value:
            if name not in fields:
                field_names = ", ".join(sorted(fields))
                self.fault((*path, name), f"unknown field; the fields are {field_names}")
        for name, field in fields.items():
            if name in value:
                self.check(field.type, value[name], (*path, name))
            elif field.required:
                self.fault((*path, name), "this field is required")

    def _check_leaf(self, kind, value, path):
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            self.fault(path, str(error))


def _check_relations(settings, checker):
    """Return faults in the relations between fields of ``Settings``."""
    faults = []
    listen = settings.listen
    ports = [listen.caller_port, listen.operator_port, listen.endpoint_port, listen.link_port]
    if len(set(ports)) < len(ports):
        faults.append(checker.make_fault(("listen",), "the four ports must differ"))
    try:
        ipaddress.ip_address(listen.ip)
    except ValueError:
        faults.append(checker.make_fault(("listen", "ip"), "not an IP address"))
    faults += _check_voters(settings, checker)
    return faults


def _check_site_relations(settings, checker):
    """Return faults in the relations between fields of ``SiteSettings``."""
    faults = []
    if not settings.seeds:
        faults.append(checker.make_fault(("seeds",), "at least one seed is required"))
    if settings.role == "controller" and not settings.data_folder:
        faults.append(checker.make_fault(("data_folder",), "a controller needs a data folder"))
    if settings.role == "router" and not settings.callers:
        faults.append(checker.make_fault(("callers",), "a router needs an address for callers"))
    if settings.relay and settings.role != "router":
        faults.append(checker.make_fault(("relay",), "only a router takes such requests"))
    return faults


def _check_voters(settings, checker):
    faults = []
    names = [voter.host for voter in settings.voters]
    if len(set(names)) < len(names):
        faults.append(checker.make_fault(("voters",), "a host is listed twice"))
    if len({voter.address for voter in settings.voters}) < len(names):
        faults.append(checker.make_fault(("voters",), "two voters share an address"))
    own = settings.voter_addresses.get(settings.host)
    if own is not None and own != settings.link_address:
        problem = f"this host is listed as {own} but listens on {settings.link_address}"
        faults.append(checker.make_fault(("voters",), problem))
    if not settings.is_voter and not settings.voters:
        faults.append(
            checker.make_fault(("voters",), "a host without the voter role needs voters")
        )
    if "router" not in settings.roles:
        faults.append(checker.make_fault(("roles",), "every host must have the router role"))
    return faults
