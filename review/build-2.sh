#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python programs of this repository
# (review/stand_in_2 and soak/wire_platform.py) and need no compilation: this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/stand_in_2:soak python3 -c "import deployment, wire_platform"
