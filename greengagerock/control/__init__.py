"""Decisions of the leader.

``Controller`` makes them for a ``Node``, with its replicated state machine; ``SiteLeader`` makes
them for a ``ControllerNode``.
"""
