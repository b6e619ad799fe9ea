#!/bin/bash
# Plays the case once; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -d target/review-2 ] || exit 2
timeout -k 1 118 java -Xmx1g -cp 'target/review-2:target/heathercourse-0.1.0-SNAPSHOT.jar:target/lib/*' Case9 "$here" &
child=$!
trap 'kill $child' TERM INT
wait $child
code=$?
[ $code -le 1 ] && exit $code
exit 2
