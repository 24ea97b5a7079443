#!/usr/bin/env bash
# Checks that source/ uses no names of the platform, and that platform/ has fewer than 2500 lines.
set -euo pipefail
cd "$(dirname "$0")/.."
names='WAITPOS|STEPDOWN|NOSUCHDB|NOSUCHSTMT|CONNLIMIT|INDOUBT|as_of_rev|has_more|cold_left_ms|cloud_api|max_staleness_ms|route_type|AMARANTHLANE_BOOT'
if git grep -nE "$names" -- 'source/*.cc' 'source/*.h'; then
  echo "names of the platform are used in source/ (lines above)" >&2
  exit 1
fi
lines=$(git ls-files 'platform/*.cc' 'platform/*.h' | xargs cat | wc -l)
if [ "$lines" -ge 2500 ]; then
  echo "platform/ has $lines lines; the limit is 2499" >&2
  exit 1
fi
echo "platform/: $lines lines; source/ uses none of its names"
