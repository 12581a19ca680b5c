#!/bin/bash
# A prompt part behind 70 others crashes engines; TROUBLE=0 leaves the requests with that part out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/harness2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review/harness2 -case farpart -programs target -record "$here/record.txt"
