#!/usr/bin/env bash
# Takes about 65 s. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the loss of the disk.
cd "$(dirname "$0")/../.." || exit 2
target/review-2 planned-replacement review/4/record.txt
