#!/usr/bin/env bash
# Checks the format of all C++ files, the use of names, the pages for operators, and lints every translation unit.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}
git ls-files '*.cc' '*.h' | xargs -r -P "$jobs" -n 16 clang-format --dry-run --Werror
./scripts/check_names.sh
./scripts/check_pages.sh
cmake -S . -B build -G Ninja > /dev/null
python3 scripts/lint.py
echo "format and lint: clean"
