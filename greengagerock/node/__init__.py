"""The decision core of one host."""

from greengagerock.node.config import NodeConfig
from greengagerock.node.node import Node

__all__ = ["Node", "NodeConfig"]
