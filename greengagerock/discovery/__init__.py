"""Discovery of the controllers of a site through seed addresses."""

from greengagerock.discovery.finder import LeaderFinder
from greengagerock.discovery.messages import ControllerHello, ControllerWelcome
from greengagerock.discovery.peers import PeerDirectory
from greengagerock.discovery.roster import VoterReplacement, choose_membership

__all__ = [
    "ControllerHello",
    "ControllerWelcome",
    "LeaderFinder",
    "PeerDirectory",
    "VoterReplacement",
    "choose_membership",
]
