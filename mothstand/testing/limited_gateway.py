"""Runs a gateway instance with a lower limit on its open files.

Run as ``python -m mothstand.testing.limited_gateway SETTINGS DESCRIPTORS``.
"""

from __future__ import annotations

import resource
import sys

from ..gateway_main import main

if __name__ == "__main__":
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv[2]), hard))
    main()
