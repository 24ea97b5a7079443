#!/bin/sh
# The stand-ins of the cases are Python and need no compiler. This checks that they can run here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"'
PYTHONDONTWRITEBYTECODE=1 python3 - common/rig.py */case.py <<'P'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
P
echo "the stand-ins are ready"
