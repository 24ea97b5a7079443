#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the register's deployment once: it lodges a certificate, reads it through
# another VM and prints the trace.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install_dependencies.sh
cmake -S . -B build -G Ninja > /dev/null
cmake --build build -j "${JOBS:-$(nproc)}" --target amaranthlaned platform_stand_in endpoint_stand_in
python3 scripts/fleet.py --deployment register --vms 6 --demonstrate
