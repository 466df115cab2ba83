"""Seeded fuzzer of all decoders of input from outside, and of the HTTP server for callers."""

from greengagerock.testing.fuzz.decoder_targets import DECODERS, DecoderTarget
from greengagerock.testing.fuzz.http_server import HttpServerTarget
from greengagerock.testing.fuzz.mutator import Mutator

__all__ = ["DECODERS", "DecoderTarget", "HttpServerTarget", "Mutator"]
