"""Runs the daemon: ``python3 -m egretshed.daemon``.

The garbage collector is off while the modules are imported. Nothing is freed then, and
it would take a tenth of the processor time of a start.
"""

import gc
import signal

gc.disable()
# Until `serve` handles it, the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from egretshed.daemon.main import main  # noqa: E402

main()
