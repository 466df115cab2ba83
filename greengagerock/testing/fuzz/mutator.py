"""Seeded mutations of byte strings."""

from random import Random

MAX_MUTATIONS = 6
MAX_SLICE_BYTES = 24


class Mutator:
    """Produces mutated variants of samples.

    Args:
        seed: Seed of the mutations.
        samples: Valid inputs.
        tokens: Byte strings with a meaning in the input format.

    Examples:
        >>> mutator = Mutator(3, [b"GET / HTTP/1.1"], [b" "])
        >>> same_seed = Mutator(3, [b"GET / HTTP/1.1"], [b" "])
        >>> [mutator.next() for _ in range(5)] == [same_seed.next() for _ in range(5)]
        True
    """

    def __init__(self, seed, samples, tokens):
        self.random = Random(seed)
        self.samples = samples
        self.tokens = tokens

    def next(self):
        """Return a sample with one or more random mutations."""
        random = self.random
        data = bytearray(random.choice(self.samples))
        for _ in range(random.randint(1, MAX_MUTATIONS)):
            start = random.randrange(len(data) + 1)
            end = start + random.randint(1, MAX_SLICE_BYTES)
            match random.randrange(6):
                case 0 if start < len(data):
                    data[start] = random.randrange(256)
                case 1:
                    del data[start:end]
                case 2:
                    data[start:start] = data[start:end]
                case 3:
                    data[start:start] = random.choice(self.tokens)
                case 4:
                    other = random.choice(self.samples)
                    data[start:end] = other[start:end]
                case 5:
                    del data[start:]
        return bytes(data)
