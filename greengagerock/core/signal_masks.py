"""Which threads of a process may take its signals.

The system gives a signal of a process to any thread that does not block it. After the process
stood still, that may be a worker thread, and the event loop may run before that thread does. The
loop would take the time of that run for one at which the signal had not arrived.
"""

import signal
from contextlib import contextmanager

PROCESS_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@contextmanager
def block_signals():
    """Block the signals of the process in the calling thread, and in threads that it starts.

    Signals that arrive meanwhile wait for the end of the context.
    """
    earlier_mask = signal.pthread_sigmask(signal.SIG_BLOCK, PROCESS_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, earlier_mask)
