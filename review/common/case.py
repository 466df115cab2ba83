"""Runs one case: prepares record and site, and turns the result into an exit status."""

import traceback
from pathlib import Path

from common.site import CannotRunError, Record, Site, has_disruption

BROKEN, HELD, NOT_RUN = 1, 0, 2


def run_case(folder, check):
    """Run a case.

    Args:
        folder: Folder of the case, for ``record.txt``.
        check: Function of the ``Site`` and the ``Record`` that returns a list of lines, each of
            which says how the rule was broken.

    Returns:
        The exit status.
    """
    record = Record(Path(folder) / "record.txt")
    record.add(f"disruption: {has_disruption()}")
    site = None
    try:
        site = Site(record)
        problems = check(site, record)
    except CannotRunError as error:
        record.add(f"could not run: {error}")
        return NOT_RUN
    except Exception:
        record.add("could not run: " + traceback.format_exc())
        return NOT_RUN
    finally:
        if site is not None:
            site.stop()
    for problem in problems:
        record.add(f"BROKEN: {problem}")
    record.add("result: " + ("broken" if problems else "held"))
    print("\n".join(problems) or "held", flush=True)
    return BROKEN if problems else HELD
