"""The status of a host for the operator interface."""


def describe_host(daemon):
    """Return the status of a daemon as a dictionary.

    Args:
        daemon: The ``Daemon``.
    """
    node = daemon.node
    voter = node.voter
    return {
        "host": daemon.settings.host,
        "availability_zone": daemon.settings.availability_zone,
        "region": daemon.settings.region,
        "roles": list(daemon.settings.roles),
        "ready": node.router.readiness() == "",
        "route_version": node.history.version,
        "in_flight": len(node.router.registry),
        "keeper_epoch": node.lease_manager_client.epoch,
        "keeps_zone": node.lease_manager is not None,
        "leader": node.lease_manager_client.leader,
        "leads": bool(voter and voter.is_leader),
        "term": voter.term if voter else 0,
        "log_index": voter.log.last_index if voter else 0,
        "committed_index": voter.commit_index if voter else 0,
        "control_messages_sent": daemon.links.stats.sent_messages,
        "control_bytes_sent": daemon.links.stats.sent_bytes,
    }
