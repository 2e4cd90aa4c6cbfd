#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-limit ] && [ -x target/daemon/quartzhoistd ] || exit 2
timeout --kill-after=2 115 review/bin/case-limit target/daemon/quartzhoistd \
  deploy/quartzhoistd.ini review/limit/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
