#!/bin/sh
# The stand-ins that cases 6 to 10 start are Python programs of this repository (review/common/deployment.py and the
# soak's wire_platform.py) and need no compiler and no network. This checks that they and the cases can run here.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/common:soak python3 - review/6 review/7 review/8 review/9 review/10 <<'P'
import pathlib
import sys

import deployment  # noqa: F401: loads the soak's stand-in, too
for folder in sys.argv[1:]:
    case = pathlib.Path(folder) / "case.py"
    compile(case.read_text(), str(case), "exec")
P
echo "the stand-ins are ready"
