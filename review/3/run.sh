#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
[ -x ../../target/release/hazelgrade ] || exit 2
timeout -k 5 113 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
