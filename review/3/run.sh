#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/carawaypitch target/review-standin; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
TROUBLE="${TROUBLE:-1}" timeout --kill-after=5 110 target/review-standin late-copy review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
