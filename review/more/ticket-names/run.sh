#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/case-ticket-names ] && [ -x ../../../target/bin/gullward-gateway ] || exit 2
timeout -k 2 116 ../../bin/case-ticket-names "$(cd ../../.. && pwd)" "$PWD"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
