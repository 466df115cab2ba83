"""Discovery of the controllers of a site through seed addresses."""

from greengagerock.discovery.leader_finder import LeaderFinder
from greengagerock.discovery.messages import ControllerHello, ControllerHelloReply
from greengagerock.discovery.peer_directory import PeerDirectory
from greengagerock.discovery.voter_replacement import VoterReplacement, choose_membership

__all__ = [
    "ControllerHello",
    "ControllerHelloReply",
    "LeaderFinder",
    "PeerDirectory",
    "VoterReplacement",
    "choose_membership",
]
