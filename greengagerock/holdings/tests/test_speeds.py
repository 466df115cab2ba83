"""Shares by speed, also where each endpoint gets few requests."""

from greengagerock.holdings.speeds import ADJUST_INTERVAL_S, SpeedBook


def test_rare_answers_are_kept_until_there_are_enough():
    """On a site of two hundred endpoints each gets a few requests in a second."""
    book = SpeedBook()
    for number in range(1, 5):
        for name, mean_s in (("slow", 0.6), ("usual", 0.3), ("fast", 0.2)):
            book.note(name, 7, mean_s)
        book.adjust(number * ADJUST_INTERVAL_S)
    assert book.weight("slow") < book.weight("usual") < book.weight("fast")
