"""Seeded fuzzer of all decoders of input from outside, and of the HTTP server for callers."""

from greengagerock.testing.fuzz.front import HttpServerTarget
from greengagerock.testing.fuzz.mutator import Mutator
from greengagerock.testing.fuzz.targets import DECODERS, DecoderTarget

__all__ = ["DECODERS", "DecoderTarget", "HttpServerTarget", "Mutator"]
