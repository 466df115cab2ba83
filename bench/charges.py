"""Charges under faults: the router's policy compared with the baseline, in virtual time.

Run with ``python -m bench.charges``.
"""

from bench.report import write_report
from greengagerock.node.tests.test_charges_differential import run_policy

SEEDS = 20


def main():
    """Run both policies on the same fault schedules and write the report."""
    rows = []
    for name, is_baseline in (("policy", False), ("naive", True)):
        counts = [run_policy(seed, is_baseline) for seed in range(SEEDS)]
        charges = sum(count.charges for count in counts)
        rows.append(
            {
                "policy": name,
                "seeds": SEEDS,
                "charges": charges,
                "answered_share": round(sum(c.answered for c in counts) / charges, 3),
                "doubled": sum(c.doubled for c in counts),
                "false_not_run": sum(c.false_not_run for c in counts),
                "slowest_answer_s": max(c.slowest_s for c in counts),
            }
        )
    write_report("charges", rows)


if __name__ == "__main__":
    main()
