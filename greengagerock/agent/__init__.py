"""For authors of endpoints: announcements, grants and the check of orders."""

from greengagerock.agent.announcer import Announcer
from greengagerock.agent.grants import GrantBook

__all__ = ["Announcer", "GrantBook"]
