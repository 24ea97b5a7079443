#!/usr/bin/env bash
# The man page names every option, and alert rules and operators' pages name only metrics that exist.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
# Options stand in the code as {"name", 'letter', ...}; popt adds --help and --usage.
for option in $(grep -ohE '\{"[a-z-]+", ' source/frontend/*.cc | tr -d '{", ' | sort -u); do
  grep -q -- "${option//-/\\\\\\?-}" docs/man/amaranthlane-platformd.8 ||
    { echo "docs/man/amaranthlane-platformd.8 lacks --$option" >&2; status=1; }
done
for metric in $(grep -ohE 'amaranthlane_[a-z_]+' deploy/alerts.yaml docs/operators/on-the-platform.md | sort -u); do
  grep -rq "\"$metric\"" source ||
    { echo "no metric is called $metric" >&2; status=1; }
done
exit $status
