"""Prints results of measurements and writes them to files in ``bench/results``."""

import json
from pathlib import Path

RESULTS_FOLDER = Path(__file__).parent / "results"


def write_report(name, rows):
    """Print rows and write them to ``bench/results/NAME.json``.

    Args:
        name: Name of the measurement.
        rows: List of dictionaries, one for each row of results.
    """
    RESULTS_FOLDER.mkdir(exist_ok=True)
    (RESULTS_FOLDER / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")
    print(name)
    for row in rows:
        print("  " + "  ".join(f"{key}={value}" for key, value in row.items()))
