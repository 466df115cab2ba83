"""A route is moved to a prefix under which callers use the path of the readiness check."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.deployment import (
    LIMITS,
    CaseCannotRunError,
    Deployment,
    route,
    run_case,
    upsert,
)
from common_2.instance import Instance

FOLDER = Path(__file__).parent
REQUEST_COUNT = 20
START_LIMIT_S = 25.0
# ``config`` of the deployment, and a second more.
CONFIG_S = 3.0
JOBS_PREFIX = "/jobs/"
MOVED_PREFIX = "/greengagerock/"


def play(record, has_trouble):
    """Play the case; return whether the rule held."""
    deployment = Deployment(record)
    docs = None
    try:
        deployment.start_all()
        services = [["docs", "/health", 120, "h1", False, None, None, None, 1]]
        routes = [route("jobs", JOBS_PREFIX, "docs", 1, "unsafe")]
        if deployment.patch(upsert(routes, services, LIMITS), START_LIMIT_S) != 200:
            raise CaseCannotRunError("the first change was not acknowledged")
        address = f"{deployment.network}.101:{deployment.instance_port}"
        docs = Instance(record, "i-docs-0", "docs", address, deployment.controls, False)
        time.sleep(3.0)
        prefix = MOVED_PREFIX if has_trouble else "/moved/"
        if deployment.patch(upsert([route("jobs", prefix, "docs", 2, "unsafe")])) != 200:
            raise CaseCannotRunError("the second change was not acknowledged")
        time.sleep(CONFIG_S)
        wrong = 0
        for number in range(REQUEST_COUNT):
            request_id = f"job-{number}"
            reply = deployment.ask(request_id, f"{prefix}ready", method="POST")
            if reply is None:
                raise CaseCannotRunError("no response")
            has_run = request_id in docs.run_ids
            wrong += 200 <= reply.status < 300 and not (has_run and reply.seal)
        record.say(f"of {REQUEST_COUNT} requests: {len(docs.run_ids)} run")
        record.say(f"{wrong} successes without a seal, for requests that no instance has run")
        return wrong == 0
    finally:
        if docs is not None:
            docs.end()
        deployment.end()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, "MIXED", play))
