#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
python3 scenario.py &
scenario=$!
trap 'kill -TERM "$scenario" 2>/dev/null' TERM INT
wait "$scenario"
code=$?
if kill -0 "$scenario" 2>/dev/null; then
    # A signal ended the wait before the scenario has ended its processes.
    wait "$scenario"
    code=$?
fi
case $code in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
