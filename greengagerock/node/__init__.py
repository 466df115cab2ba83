"""The decision core of one host."""

from greengagerock.node.node import Node
from greengagerock.node.node_config import NodeConfig

__all__ = ["Node", "NodeConfig"]
