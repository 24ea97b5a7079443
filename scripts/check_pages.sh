#!/usr/bin/env bash
# Checks that the man page lists every option, and that alert rules and operators' pages refer only to existing metrics.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
# Options are declared in the code as {"name", 'letter', ...}; popt adds --help and --usage.
for option in $(grep -ohE '\{"[a-z-]+", ' source/frontend/*.cc | tr -d '{", ' | sort -u); do
  grep -q -- "${option//-/\\\\\\?-}" docs/man/amaranthlane-platformd.8 ||
    { echo "docs/man/amaranthlane-platformd.8 does not describe --$option" >&2; status=1; }
done
for metric in $(grep -ohE 'amaranthlane_[a-z_]+' deploy/alerts.yaml docs/operators/on-the-platform.md | sort -u); do
  grep -rq "\"$metric\"" source ||
    { echo "unknown metric in alert rules or operators' pages: $metric" >&2; status=1; }
done
exit $status
