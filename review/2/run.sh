#!/usr/bin/env bash
# Runs this case after the build of the deploy file and review/build.sh. Ends
# with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/2/case ] || exit 2
timeout -k 2 116 review/2/case review/2/record.txt
code=$?
[ $code -le 1 ] || exit 2
exit $code
