#!/bin/sh
# The stand-ins that cases 11 to 15 start are Python programs of this repository (review/common-3/rig.py and the soak's
# wire_platform.py) and need no compiler and no network. This checks that they and the cases can run here.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/common-3 python3 - review/11 review/12 review/13 review/14 review/15 <<'P'
import pathlib
import sys

import rig  # noqa: F401: loads the soak's stand-in, too
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib, asyncio.timeout)"
for folder in sys.argv[1:]:
    case = pathlib.Path(folder) / "case.py"
    compile(case.read_text(), str(case), "exec")
P
echo "the stand-ins are ready"
