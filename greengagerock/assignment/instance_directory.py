"""Endpoint instances that have reported."""

import msgspec

# Silence after which an instance is removed. It is kept that long, because a network partition
# may separate it from the controllers only.
FORGET_AFTER_S = 20.0
# Time between two reports unless the settings give another.
DEFAULT_REPORT_INTERVAL_S = 1.0


class EndpointInstance:
    """One run of an endpoint process, from its start to its end.

    Attributes:
        report: Its newest ``EndpointReport``.
        first_report_s: When its first report arrived, in monotonic seconds.
        last_report_s: When its newest report arrived.
        leaving_since_s: When it announced that it leaves, or ``None``.
        hold_until_s: When its newest grant has expired, in this host's clock.
        cold_until_s: Until when it is cold according to its newest report. An endpoint may become
            cold again at any moment, so a report may move it up as well as down.
    """

    __slots__ = (
        "cold_until_s",
        "first_report_s",
        "hold_until_s",
        "last_report_s",
        "leaving_since_s",
        "report",
    )

    def __init__(self, report, now_s):
        self.report = report
        self.first_report_s = now_s
        self.last_report_s = now_s
        self.leaving_since_s = now_s if report.draining else None
        self.hold_until_s = 0.0
        self.cold_until_s = now_s + report.cold_s

    @property
    def name(self):
        """Name of the endpoint."""
        return self.report.endpoint

    @property
    def is_leaving(self):
        """Whether it accepts no new work."""
        return self.leaving_since_s is not None

    def next_report_s(self, interval_s):
        """Return the time at which the next report is expected."""
        return self.last_report_s + interval_s


class Admission(msgspec.Struct, frozen=True):
    """Result of processing a report in the directory.

    Attributes:
        instance: The ``EndpointInstance`` that reported, or ``None`` if a later one exists.
        ended_instances: Instances that the report proves to have ended.
        is_new: Whether this is the first report of the instance.
        is_changed: Whether something has changed that routers need.
        is_late: Whether this or a newer report of the same instance has arrived before.
    """

    instance: object
    ended_instances: tuple = ()
    is_new: bool = False
    is_changed: bool = False
    is_late: bool = False


class InstanceDirectory:
    """The newest instance of each endpoint.

    A later instance with the same name or address proves that the earlier one has ended: two
    processes cannot listen at one address.

    Attributes:
        instances: Instances by endpoint name.

    Examples:
        >>> from greengagerock.assignment import EndpointReport
        >>> directory = InstanceDirectory()
        >>> first = EndpointReport("e1", 1000, 1, "10.0.0.1:80", "till", "a", 3)
        >>> directory.process_report(first, 0.0).is_new
        True
        >>> again = EndpointReport("e2", 2000, 1, "10.0.0.1:80", "till", "a", 3)
        >>> [instance.name for instance in directory.process_report(again, 5.0).ended_instances]
        ['e1']
    """

    def __init__(self):
        self.instances = {}
        self._instance_by_address = {}

    def process_report(self, report, now_s):
        """Process a report and update the instances.

        Args:
            report: The ``EndpointReport``.
            now_s: Monotonic time in seconds.

        Returns:
            An ``Admission``.
        """
        current = self.instances.get(report.endpoint)
        same_address = self._instance_by_address.get(report.address)
        for other in (current, same_address):
            if other is not None and other.report.started_ms > report.started_ms:
                return Admission(None)
        if current is not None and current.report.started_ms == report.started_ms:
            return self._renew(current, report, now_s)
        ended = tuple({id(e): e for e in (current, same_address) if e is not None}.values())
        for instance in ended:
            self.remove(instance)
        instance = EndpointInstance(report, now_s)
        self._add(instance)
        return Admission(instance, ended, is_new=True, is_changed=True)

    def mark_leaving(self, leaving, now_s):
        """Mark an endpoint instance as leaving.

        Returns:
            The ``EndpointInstance``, or ``None`` if it is unknown or was leaving already.
        """
        instance = self.instances.get(leaving.endpoint)
        if instance is None or (
            leaving.started_ms and leaving.started_ms != instance.report.started_ms
        ):
            return None
        if instance.is_leaving:
            return None
        instance.leaving_since_s = now_s
        return instance

    def remove(self, instance):
        """Remove an instance."""
        if self.instances.get(instance.name) is instance:
            del self.instances[instance.name]
        if self._instance_by_address.get(instance.report.address) is instance:
            del self._instance_by_address[instance.report.address]

    def remove_silent(self, now_s):
        """Remove and return the instances that have been silent for too long."""
        silent = [
            instance
            for instance in self.instances.values()
            if now_s - instance.last_report_s > FORGET_AFTER_S
        ]
        for instance in silent:
            self.remove(instance)
        return silent

    def of_service(self, service):
        """Return the instances of a service."""
        return [
            instance for instance in self.instances.values() if instance.report.service == service
        ]

    def _add(self, instance):
        self.instances[instance.name] = instance
        self._instance_by_address[instance.report.address] = instance

    def _renew(self, instance, report, now_s):
        previous = instance.report
        if report.sequence <= previous.sequence:
            return Admission(instance, is_late=True)
        if report.address != previous.address:
            self.remove(instance)
        instance.report = report
        instance.last_report_s = now_s
        instance.cold_until_s = now_s + report.cold_s
        was_leaving = instance.is_leaving
        if report.draining and not was_leaving:
            instance.leaving_since_s = now_s
        self._add(instance)
        is_changed = (
            was_leaving != instance.is_leaving
            or previous.address != report.address
            or previous.slots != report.slots
            or previous.service != report.service
        )
        return Admission(instance, is_changed=is_changed)
