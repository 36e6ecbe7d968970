"""Runs the daemon: ``python3 -m egretshed.daemon``.

The garbage collector is off while the modules are imported. Nothing is freed then, and
it would take a tenth of the processor time of a start.
"""

import gc

gc.disable()

from egretshed.daemon.main import main  # noqa: E402

main()
