"""Seeded mutations of bytes."""

from random import Random

MOST_CHANGES = 6
LONGEST_PIECE = 24


class Mutator:
    """Makes damaged variants of samples.

    Args:
        seed: Seed of the variants.
        samples: Sound inputs.
        tokens: Byte strings that mean something to the reader.

    Examples:
        >>> first = Mutator(3, [b"GET / HTTP/1.1"], [b" "])
        >>> again = Mutator(3, [b"GET / HTTP/1.1"], [b" "])
        >>> [first.next() for _ in range(5)] == [again.next() for _ in range(5)]
        True
    """

    def __init__(self, seed, samples, tokens):
        self.random = Random(seed)
        self.samples = samples
        self.tokens = tokens

    def next(self):
        """Return one damaged variant of a sample."""
        random = self.random
        data = bytearray(random.choice(self.samples))
        for _ in range(random.randint(1, MOST_CHANGES)):
            at = random.randrange(len(data) + 1)
            end = at + random.randint(1, LONGEST_PIECE)
            match random.randrange(6):
                case 0 if at < len(data):
                    data[at] = random.randrange(256)
                case 1:
                    del data[at:end]
                case 2:
                    data[at:at] = data[at:end]
                case 3:
                    data[at:at] = random.choice(self.tokens)
                case 4:
                    other = random.choice(self.samples)
                    data[at:end] = other[at:end]
                case 5:
                    del data[at:]
        return bytes(data)
