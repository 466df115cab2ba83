"""How hosts find each other from a few seeds."""

from greengagerock.discovery.finder import LeaderFinder
from greengagerock.discovery.messages import ControllerHello, ControllerWelcome
from greengagerock.discovery.peers import PeerBook
from greengagerock.discovery.roster import Roster, choose_membership

__all__ = [
    "ControllerHello",
    "ControllerWelcome",
    "LeaderFinder",
    "PeerBook",
    "Roster",
    "choose_membership",
]
