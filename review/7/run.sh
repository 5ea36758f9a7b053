#!/usr/bin/env bash
# Takes about 110 s. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/carawaypitch target/review-2; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
timeout --kill-after=3 116 target/review-2 many-changes review/7/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
