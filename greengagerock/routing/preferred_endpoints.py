"""Preference among the endpoints that may run a call, before load decides.

It answers services whose endpoints reset connections when they are full: an unsafe request whose
connection is reset has an unknown outcome, so it avoids endpoints that have just done that.
"""

# Time after a reset or refused connection during which an unsafe request goes to another endpoint.
RESET_MARGIN_S = 0.5


class PreferredEndpoints:
    """Chooses from the preferred endpoints first, then from all.

    Args:
        endpoint_picker: The ``EndpointPicker``.
        observations: The ``EndpointObservations``.
    """

    __slots__ = ("endpoint_picker", "observations")

    def __init__(self, endpoint_picker, observations):
        self.endpoint_picker = endpoint_picker
        self.observations = observations

    def picker_for(self, call):
        """Return a function with the arguments and the result of ``EndpointPicker.pick``.

        Args:
            call: The ``Call``.
        """
        pick = self.endpoint_picker.pick

        def pick_preferred(records, excluded, extra_requests, objective_s, now_s):
            preferred = self._preferred(call, records, now_s)
            if len(preferred) < len(records):
                record = pick(preferred, excluded, extra_requests, objective_s, now_s)
                if record is not None:
                    return record
            return pick(records, excluded, extra_requests, objective_s, now_s)

        return pick_preferred

    def _preferred(self, call, records, now_s):
        if call.route.is_idempotent:
            return records
        observation_of = self.observations.observation_of
        return [
            record
            for record in records
            if now_s - observation_of(record.name).last_reset_s >= RESET_MARGIN_S
        ]
