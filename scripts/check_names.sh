#!/usr/bin/env bash
# The platform's names stay in platform/, and that folder stays small.
set -euo pipefail
cd "$(dirname "$0")/.."
names='WAITPOS|STEPDOWN|NOSUCHDB|NOSUCHSTMT|CONNLIMIT|INDOUBT|as_of_rev|has_more|cold_left_ms|cloud_api|max_staleness_ms|route_type|AMARANTHLANE_BOOT'
if git grep -nE "$names" -- 'source/*.cc' 'source/*.h'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
lines=$(git ls-files 'platform/*.cc' 'platform/*.h' | xargs cat | wc -l)
if [ "$lines" -ge 2500 ]; then
  echo "platform/ has $lines lines" >&2
  exit 1
fi
echo "platform/: $lines lines, its names stay inside"
