"""A seeded fuzzer of everything that outsiders can send."""

from greengagerock.testing.fuzz.front import FrontTarget
from greengagerock.testing.fuzz.mutator import Mutator
from greengagerock.testing.fuzz.targets import READERS, ReaderTarget

__all__ = ["READERS", "FrontTarget", "Mutator", "ReaderTarget"]
