#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common-3 exec python3 case.py
