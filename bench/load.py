"""Load generator with several processes and keep-alive connections."""

import http.client
import multiprocessing
import resource
import threading
import time

import msgspec
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class LoadResult(msgspec.Struct, frozen=True):
    """Figures of one load run.

    Attributes:
        rate: Successful responses per second.
        median_ms: Median latency in milliseconds.
        p99_ms: 99th percentile of the latency in milliseconds.
        failures: Requests without a response with status 200.
    """

    rate: float
    median_ms: float
    p99_ms: float
    failures: int


def run_load(address, paths, seconds, processes=2, threads=4, rate=None):
    """Send GET requests to an address and measure latencies.

    Args:
        address: ``IP:PORT`` to send to.
        paths: Request paths; each connection cycles through them.
        seconds: Duration of the run.
        processes: Number of load processes.
        threads: Threads of each process, each with one connection.
        rate: Requests per second over all connections, or ``None`` for the highest rate possible.

    Returns:
        A ``LoadResult``.
    """
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    connection_rate = rate / (processes * threads) if rate else None
    workers = [
        context.Process(
            target=_run_process, args=(address, paths, seconds, threads, connection_rate, queue)
        )
        for _ in range(processes)
    ]
    for worker in workers:
        worker.start()
    results = [queue.get() for _ in workers]
    for worker in workers:
        worker.join()
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for encoded, _ in results:
        histogram.decode_and_add(encoded)
    failures = sum(count for _, count in results)
    return LoadResult(
        histogram.get_total_count() / seconds,
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        failures,
    )


def _run_process(address, paths, seconds, threads, rate, queue):
    histograms = [
        HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for _ in range(threads)
    ]
    failures = [0] * threads
    end_s = time.monotonic() + seconds
    workers = [
        threading.Thread(
            target=_run_connection, args=(address, paths, end_s, rate, histograms[n], failures, n)
        )
        for n in range(threads)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    total = histograms[0]
    for other in histograms[1:]:
        total.add(other)
    queue.put((total.encode(), sum(failures)))


def _run_connection(address, paths, end_s, rate, histogram, failures, number):
    connection = http.client.HTTPConnection(address, timeout=10)
    sent_count = 0
    start_s = time.monotonic() + (number / 10 / rate if rate else 0)
    while True:
        due_s = start_s + sent_count / rate if rate else time.monotonic()
        if due_s >= end_s:
            return
        time.sleep(max(0.0, due_s - time.monotonic()))
        request_start_s = due_s if rate else time.monotonic()
        try:
            connection.request("GET", paths[(sent_count * 7 + number) % len(paths)])
            response = connection.getresponse()
            response.read()
            is_success = response.status == 200
        except (OSError, http.client.HTTPException):
            connection.close()
            is_success = False
        sent_count += 1
        if is_success:
            histogram.record_value(max(1, int((time.monotonic() - request_start_s) * 1e6)))
        else:
            failures[number] += 1


def cpu_seconds(process_id):
    """Return the processor time of a process so far, in seconds."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / 100.0


def resident_mb(process_id):
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{process_id}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1e6
